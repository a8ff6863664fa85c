#include "config/documents.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/config_test_sets.h"
#include "config/validation.h"
#include "core/hash.h"

namespace comfreyspring::config {
namespace {

configuration Decode(const document_set& documents) {
  return DecodeSet(documents.manifest_bytes,
                   [&documents](std::uint64_t hash) -> const std::string* {
                     const auto found = documents.parts.find(hash);
                     return found == documents.parts.end() ? nullptr
                                                           : &found->second;
                   });
}

template <class Change>
std::vector<violation> ViolationsAfter(Change change) {
  configuration set = MakeTestSet(1, "v2");
  change(set);
  std::vector<violation> kinds;
  for (const finding& found : Validate(set)) kinds.push_back(found.kind);
  return kinds;
}

TEST(Documents, KeepEveryFieldOfASet) {
  const configuration original = MakeTestSet(7, "v2");
  const document_set documents = EncodeSet(original);
  const configuration read = Decode(documents);
  EXPECT_EQ(read.version.generation, 7u);
  EXPECT_EQ(read.version.manifest_hash, core::Hash64(documents.manifest_bytes));
  EXPECT_EQ(read.published_ms, original.published_ms);
  ASSERT_NE(read.FindAdapter(core::adapter_id("adapter-3")), nullptr);
  EXPECT_EQ(read.FindAdapter(core::adapter_id("adapter-3"))->versions,
            original.adapters[3].versions);
  EXPECT_EQ(read.FindAdapter(core::adapter_id("none")), nullptr);
  EXPECT_EQ(read.FindEndpoint(core::endpoint_id("desk-1"))->service,
            core::service_id("orders"));
  EXPECT_EQ(
      read.FindService(core::service_id("orders"))->epochs[0].members.size(),
      1u);
  EXPECT_EQ(read.stops[0].starts_at, original.stops[0].starts_at);
  EXPECT_EQ(EncodeSet(read).manifest_bytes, documents.manifest_bytes);
}

// Guards against parts that exceed the service's size limit at the target size.
TEST(Documents, SpreadTheTargetSizeOverSmallParts) {
  const document_set documents = EncodeSet(MakeTestSet(1, "v2", 28000));
  EXPECT_GT(documents.parts.size(), 5u);
  for (const auto& [hash, bytes] : documents.parts) {
    EXPECT_LT(bytes.size(), kMaximumPartBytes);
  }
  EXPECT_EQ(Decode(documents).adapters.size(), 28000u);
}

// Guards against a change of one record making every process fetch all parts.
TEST(Documents, ChangeOnlyThePartOfTheChangedRecord) {
  configuration set = MakeTestSet(1, "v2", 28000);
  const document_set before = EncodeSet(set);
  set.adapters[17].priority = core::priority_class::may_wait;
  std::size_t changed = 0;
  for (const auto& [hash, bytes] : EncodeSet(set).parts) {
    changed += before.parts.count(hash) == 0 ? 1 : 0;
  }
  EXPECT_EQ(changed, 1u);
}

// Guards against accepting a corrupted manifest as a set nobody published.
RC_GTEST_PROP(Documents, RefuseAManifestWithAnyDamagedByte, ()) {
  const document_set documents = EncodeSet(MakeTestSet(7, "v2"));
  std::string bytes = documents.manifest_bytes;
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  // A digit keeps most manifests parseable, so that only the checksum detects
  // the corruption.
  bytes[position] = *rc::gen::distinctFrom(
      rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::inRange('0', ':')),
      bytes[position]);
  RC_ASSERT_THROWS_AS(DecodeManifest(bytes), document_error);
}

RC_GTEST_PROP(Documents, AnswerArbitraryManifestsWithDocumentError,
              (const std::string& bytes)) {
  RC_ASSERT_THROWS_AS(DecodeManifest(bytes), document_error);
}

// Guards against an uncaught exception for a part with a valid hash and invalid
// content.
RC_GTEST_PROP(Documents, AnswerArbitraryPartsWithATypedError, ()) {
  std::string bytes = EncodeSet(MakeTestSet(1, "v2")).parts.begin()->second;
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = *rc::gen::inRange<char>(' ', '~');
  manifest list{.generation = 1, .published_ms = 1};
  list.parts.push_back({core::Hash64(bytes), bytes.size()});
  try {
    DecodeSet(EncodeManifest(list), [&bytes](std::uint64_t) { return &bytes; });
  } catch (const document_error&) {
  } catch (const validation_error&) {
  }
}

TEST(Documents, NameTheFaultOfAPart) {
  const std::string bytes = R"({"kind":"models","records":["base"]})";
  const auto fault_of = [&bytes](part_reference part, bool is_present) {
    manifest list{.generation = 1, .published_ms = 1, .parts = {part}};
    try {
      DecodeSet(EncodeManifest(list),
                [&](std::uint64_t) { return is_present ? &bytes : nullptr; });
    } catch (const document_error& failure) {
      return failure.Kind();
    }
    return document_fault::malformed;
  };
  const std::uint64_t hash = core::Hash64(bytes);
  EXPECT_EQ(fault_of({hash, bytes.size()}, false),
            document_fault::missing_part);
  EXPECT_EQ(fault_of({hash, 5}, true), document_fault::size_mismatch);
  EXPECT_EQ(fault_of({hash + 1, bytes.size()}, true),
            document_fault::hash_mismatch);
}

TEST(Validation, AcceptsAValidSet) {
  EXPECT_TRUE(Validate(MakeTestSet(1, "v2")).empty());
}

TEST(Validation, NamesEachBrokenRule) {
  using ::testing::Contains;
  using set = configuration;
  EXPECT_THAT(
      ViolationsAfter([](set& s) { s.adapters.push_back(s.adapters.front()); }),
      Contains(violation::duplicate_id));
  EXPECT_THAT(
      ViolationsAfter([](set& s) { s.models = {core::model_id("other")}; }),
      Contains(violation::unknown_model));
  EXPECT_THAT(ViolationsAfter([](set& s) { s.adapters[0].versions.clear(); }),
              Contains(violation::no_version));
  EXPECT_THAT(ViolationsAfter([](set& s) {
                s.adapters[0].default_version = core::version_id("v9");
              }),
              Contains(violation::default_version_not_listed));
  EXPECT_THAT(ViolationsAfter([](set& s) {
                s.endpoints[1].service = core::service_id("other");
              }),
              Contains(violation::unknown_service));
  EXPECT_THAT(ViolationsAfter([](set& s) {
                s.services[0].epochs.push_back(s.services[0].epochs[0]);
              }),
              Contains(violation::epochs_not_ascending));
  EXPECT_THAT(
      ViolationsAfter([](set& s) {
        s.services[0].epochs[0].members = {core::endpoint_id("engine-1")};
      }),
      Contains(violation::unknown_member));
  EXPECT_THAT(ViolationsAfter([](set& s) { s.services[0].epochs.clear(); }),
              Contains(violation::no_member));
  EXPECT_THAT(ViolationsAfter([](set& s) {
                s.stops[0].endpoint = core::endpoint_id("none");
              }),
              Contains(violation::unknown_endpoint));
  EXPECT_THAT(ViolationsAfter(
                  [](set& s) { s.stops[0].ends_at = s.stops[0].starts_at; }),
              Contains(violation::stop_ends_before_start));
  EXPECT_THAT(ViolationsAfter([](set& s) {
                s.adapters[0].adapter = core::adapter_id("a@b");
              }),
              Contains(violation::invalid_id));
}

// Guards against a member that has left the fleet making later sets invalid.
TEST(Validation, AcceptsDepartedMembersOfOlderEpochs) {
  EXPECT_THAT(ViolationsAfter([](configuration& s) {
                auto& epochs = s.services[0].epochs;
                epochs.push_back(epochs.front());
                epochs.front().members = {core::endpoint_id("desk-gone")};
                epochs.back().epoch = 2;
              }),
              ::testing::IsEmpty());
}

}  // namespace
}  // namespace comfreyspring::config
