#include "config/validation.h"

#include <algorithm>
#include <cassert>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace comfreyspring::config {
namespace {

/** Ids of one kind; the views refer to the validated set. */
using id_set = std::unordered_set<std::string_view>;

/** Name of a record; the string is built only when there is a finding. */
struct subject_name {
  std::string_view kind;
  std::string_view id;
  std::string_view detail = "";
  std::string_view detail_id = "";

  std::string Text() const {
    std::string text = std::string(kind) + " " + std::string(id);
    if (!detail.empty()) text += " " + std::string(detail);
    if (!detail_id.empty()) text += " " + std::string(detail_id);
    return text;
  }
};

/** Runs all checks on one set and collects the findings. */
class validator {
 public:
  explicit validator(const configuration& set) : set_(set) {}

  std::vector<finding> Run() {
    CheckModels();
    CheckServices();
    CheckAdapters();
    CheckEndpoints();
    for (const service_record& service : set_.services) CheckEpochs(service);
    for (const planned_stop& stop : set_.stops) CheckStop(stop);
    return std::move(findings_);
  }

 private:
  void Add(violation kind, const subject_name& subject, std::string message) {
    findings_.push_back({kind, subject.Text(), std::move(message)});
  }

  template <class Id>
  void CheckId(const Id& id, const subject_name& subject) {
    const std::string& text = id.Value();
    const auto is_allowed = [](unsigned char letter) {
      return letter > 0x20 && letter != 0x7f && letter != '@' && letter != '/';
    };
    if (!text.empty() && text.size() <= kMaximumIdBytes &&
        std::all_of(text.begin(), text.end(), is_allowed)) {
      return;
    }
    Add(violation::invalid_id, subject,
        "An id must have 1 to " + std::to_string(kMaximumIdBytes) +
            " bytes and no space, control character, '@' or '/'.");
  }

  template <class Id>
  void CheckUnique(id_set& known, const Id& id, const subject_name& subject) {
    CheckId(id, subject);
    if (!known.insert(id.Value()).second) {
      Add(violation::duplicate_id, subject, "The id is listed twice.");
    }
  }

  void CheckDeadline(core::milliseconds deadline, const subject_name& subject) {
    if (deadline.count() < 1 || deadline > kMaximumDeadline) {
      Add(violation::deadline_out_of_range, subject,
          "The deadline must be 1 ms to 24 h.");
    }
  }

  void CheckModels() {
    for (const core::model_id& model : set_.models) {
      CheckUnique(models_, model, {"model", model.Value()});
    }
  }

  void CheckServices() {
    for (const service_record& service : set_.services) {
      const subject_name subject{"service", service.service.Value()};
      CheckUnique(services_, service.service, subject);
      CheckDeadline(service.deadline, subject);
    }
  }

  void CheckModelExists(const core::model_id& model,
                        const subject_name& subject) {
    if (models_.count(model.Value()) == 0) {
      Add(violation::unknown_model, subject,
          "The model '" + model.Value() + "' is not listed.");
    }
  }

  void CheckAdapters() {
    id_set known;
    known.reserve(set_.adapters.size());
    for (const adapter_record& adapter : set_.adapters) {
      const subject_name subject{"adapter", adapter.adapter.Value()};
      CheckUnique(known, adapter.adapter, subject);
      CheckModelExists(adapter.model, subject);
      CheckVersions(adapter, subject);
      CheckDeadline(adapter.deadline, subject);
    }
  }

  void CheckVersions(const adapter_record& adapter,
                     const subject_name& subject) {
    if (adapter.versions.empty()) {
      Add(violation::no_version, subject, "At least one version is required.");
    }
    bool is_default_listed = false;
    for (auto at = adapter.versions.begin(); at != adapter.versions.end();
         ++at) {
      CheckId(*at, {subject.kind, subject.id, "version", at->Value()});
      is_default_listed = is_default_listed || *at == adapter.default_version;
      if (std::find(adapter.versions.begin(), at, *at) != at) {
        Add(violation::duplicate_version, subject,
            "The version '" + at->Value() + "' is listed twice.");
      }
    }
    if (!is_default_listed) {
      Add(violation::default_version_not_listed, subject,
          "The default version '" + adapter.default_version.Value() +
              "' is not one of the versions.");
    }
  }

  void CheckEndpoints() {
    id_set known;
    for (const endpoint_record& endpoint : set_.endpoints) {
      const subject_name subject{"endpoint", endpoint.endpoint.Value()};
      CheckUnique(known, endpoint.endpoint, subject);
      CheckId(endpoint.vm, {subject.kind, subject.id, "vm"});
      CheckId(endpoint.data_centre, {subject.kind, subject.id, "data_centre"});
      if (endpoint.address.empty()) {
        Add(violation::invalid_address, subject, "The address is empty.");
      }
      if (endpoint.agent_port == 0) {
        Add(violation::invalid_port, subject, "The agent port must not be 0.");
      }
      if (endpoint.kind == core::endpoint_kind::engine) {
        CheckModelExists(endpoint.model, subject);
      } else if (services_.count(endpoint.service.Value()) == 0) {
        Add(violation::unknown_service, subject,
            "The service '" + endpoint.service.Value() + "' is not listed.");
      }
      endpoints_.emplace(endpoint.endpoint.Value(), &endpoint);
    }
  }

  void CheckEpochs(const service_record& service) {
    const subject_name subject{"service", service.service.Value()};
    if (service.epochs.size() > kMaximumEpochs) {
      Add(violation::too_many_epochs, subject,
          "A service can have at most 4 ownership epochs.");
    }
    const ownership_epoch* previous = nullptr;
    for (const ownership_epoch& epoch : service.epochs) {
      if (previous != nullptr &&
          (epoch.epoch <= previous->epoch ||
           epoch.effective_from_ms < previous->effective_from_ms)) {
        Add(violation::epochs_not_ascending, subject,
            "The epoch " + std::to_string(epoch.epoch) +
                " is not after the previous epoch.");
      }
      CheckMembers(service, epoch, &epoch == &service.epochs.back());
      previous = &epoch;
    }
    if (service.epochs.empty() && !service.repeatable) {
      Add(violation::no_member, subject,
          "A non-repeatable service must have an ownership epoch.");
    }
  }

  void CheckMembers(const service_record& service, const ownership_epoch& epoch,
                    bool is_newest) {
    const std::string number = std::to_string(epoch.epoch);
    const subject_name subject{"service", service.service.Value(), "epoch",
                               number};
    if (epoch.members.empty()) {
      Add(violation::no_member, subject, "The epoch has no members.");
    }
    id_set seen;
    for (const core::endpoint_id& member : epoch.members) {
      if (!seen.insert(member.Value()).second) {
        Add(violation::duplicate_member, subject,
            "The member '" + member.Value() + "' is listed twice.");
      }
      if (is_newest && !Provides(member, service.service)) {
        Add(violation::unknown_member, subject,
            "The member '" + member.Value() +
                "' is not an endpoint of this service.");
      }
    }
  }

  bool Provides(const core::endpoint_id& id,
                const core::service_id& service) const {
    const auto found = endpoints_.find(id.Value());
    return found != endpoints_.end() &&
           found->second->kind == core::endpoint_kind::plain_service &&
           found->second->service == service;
  }

  void CheckStop(const planned_stop& stop) {
    const subject_name subject{"stop of", stop.endpoint.Value()};
    if (endpoints_.count(stop.endpoint.Value()) == 0) {
      Add(violation::unknown_endpoint, subject, "The endpoint is not listed.");
    }
    if (stop.ends_at <= stop.starts_at) {
      Add(violation::stop_ends_before_start, subject,
          "The stop must end after it starts.");
    }
    if (stop.drain.count() < 0 || stop.drain > kMaximumDeadline) {
      Add(violation::drain_out_of_range, subject,
          "The drain time must be 0 s to 24 h.");
    }
  }

  const configuration& set_;
  std::vector<finding> findings_;
  id_set models_;
  id_set services_;
  std::unordered_map<std::string_view, const endpoint_record*> endpoints_;
};

std::string Summary(const std::vector<finding>& findings) {
  assert(!findings.empty());
  const finding& first = findings.front();
  std::string text = first.subject + ": " + std::string(ToString(first.kind)) +
                     ": " + first.message;
  if (findings.size() > 1) {
    text += " (and " + std::to_string(findings.size() - 1) + " more)";
  }
  return text;
}

}  // namespace

std::string_view ToString(violation kind) {
  switch (kind) {
    case violation::invalid_id:
      return "invalid_id";
    case violation::duplicate_id:
      return "duplicate_id";
    case violation::unknown_model:
      return "unknown_model";
    case violation::no_version:
      return "no_version";
    case violation::duplicate_version:
      return "duplicate_version";
    case violation::default_version_not_listed:
      return "default_version_not_listed";
    case violation::deadline_out_of_range:
      return "deadline_out_of_range";
    case violation::invalid_address:
      return "invalid_address";
    case violation::invalid_port:
      return "invalid_port";
    case violation::unknown_service:
      return "unknown_service";
    case violation::too_many_epochs:
      return "too_many_epochs";
    case violation::epochs_not_ascending:
      return "epochs_not_ascending";
    case violation::no_member:
      return "no_member";
    case violation::duplicate_member:
      return "duplicate_member";
    case violation::unknown_member:
      return "unknown_member";
    case violation::unknown_endpoint:
      return "unknown_endpoint";
    case violation::stop_ends_before_start:
      return "stop_ends_before_start";
    case violation::drain_out_of_range:
      return "drain_out_of_range";
  }
  return "unknown";
}

std::vector<finding> Validate(const configuration& set) {
  return validator(set).Run();
}

validation_error::validation_error(std::vector<finding> findings)
    : core::error(Summary(findings)), findings_(std::move(findings)) {}

}  // namespace comfreyspring::config
