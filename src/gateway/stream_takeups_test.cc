#include "gateway/stream_takeups.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>

#include "gateway/linked_sidecars_test.h"

namespace comfreyspring::gateway {
namespace {

using core::milliseconds;

const core::service_id kService("s");

/** A gateway and two sidecars that keep records for all gateways. */
class stream_takeups_test : public test::linked_sidecars_test {
 protected:
  stream_takeups_test() : linked_sidecars_test({"127.0.0.1", "127.0.0.2"}) {}

  void SetUp() override {
    linked_sidecars_test::SetUp();
    Restart();
  }

  void OnGatewayMessage(const std::string& /*ip*/, net::frame_link& link,
                        const grants::message& value) override {
    if (const auto* began = std::get_if<grants::stream_began>(&value)) {
      ++copies_;
      records_.Add(began->stream, began->origin, loop_.Now());
    } else if (const auto* query = std::get_if<grants::origin_query>(&value)) {
      link.Send(grants::Encode(grants::origin_answer{
          query->number, records_.Find(query->stream, loop_.Now())}));
    }
  }

  /** The gateway forgets what it knew. */
  void Restart() {
    takeups_.emplace(loop_, log_, metrics_);
    takeups_->SetLinks(*links_);
  }
  void Begin(const std::string& id, const std::string& version) {
    takeups_->OnBegan(core::request_id(id),
                      {kService, core::software_version(version)});
    EXPECT_TRUE(
        loop_.RunUntil([this] { return copies_ == 2; }, milliseconds(5000)));
  }
  void List(const std::string& instance, const std::string& version) {
    takeups_->OnEndpoint({catalog::endpoint_change::kind::added,
                          {.instance = catalog::instance_id(instance),
                           .service = kService,
                           .version = core::software_version(version)},
                          std::nullopt});
  }
  std::string TakeUp(const std::string& stream) {
    std::string outcome;
    takeups_->Decide(core::request_id("r9"), core::request_id(stream), kService,
                     [&](const takeup_decision& decision) {
                       outcome = decision.is_refused ? "refused"
                                 : decision.origin
                                     ? decision.origin->version.Value()
                                     : "anywhere";
                     });
    EXPECT_TRUE(
        loop_.RunUntil([&] { return !outcome.empty(); }, milliseconds(5000)));
    return outcome;
  }

  void OnSidecarMessage(const std::string& ip,
                        const grants::message& value) override {
    if (takeups_) takeups_->OnSidecarMessage(ip, value);
  }

  telemetry::metrics metrics_;
  origins::origin_table records_;
  int copies_ = 0;
  std::optional<stream_takeups> takeups_;
};

TEST_F(stream_takeups_test, FindsTheVersionAfterARestart) {
  Begin("r1", "v1");
  EXPECT_EQ(TakeUp("r1"), "v1");
  Restart();
  EXPECT_EQ(TakeUp("r1"), "v1");
}

TEST_F(stream_takeups_test, RefusesWhatMayHaveBegunAtAnotherVersion) {
  EXPECT_EQ(TakeUp("r1"), "refused");
}

// Guards against refusals where no caller expects several versions.
TEST_F(stream_takeups_test, AStreamThatIsNotNamedGoesOnUnlessThereAreSeveral) {
  EXPECT_EQ(TakeUp(""), "anywhere");
  List("i-1", "v1");
  EXPECT_EQ(TakeUp(""), "anywhere");
  List("i-2", "v2");
  EXPECT_EQ(TakeUp(""), "refused");
}

TEST_F(stream_takeups_test, EndsOpenSearchesWithTheProcess) {
  takeups_->Decide(core::request_id("r9"), core::request_id("r1"), kService,
                   [](const takeup_decision&) { ADD_FAILURE(); });
  takeups_.reset();
  loop_.RunUntil([] { return false; }, milliseconds(50));
}

}  // namespace
}  // namespace comfreyspring::gateway
