#include "ctl/program.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"
#include "sheet/document_directory.h"

namespace comfreyspring::ctl {
namespace {

using argument_list = std::vector<std::string>;

const std::string kSheetText =
    "record,name,model,versions,default_version,repeatable\n"
    "model,base,,,,\n"
    "adapter,straps,base,v1 v2,v2,\n"
    "service,orders,,,,no\n";
const std::string kFleetText =
    "endpoint,vm,kind,data_centre,address,agent_port,model,service\n"
    "engine-1,vm-1,engine,porto-a,127.0.0.1,7301,base,\n"
    "desk-1,vm-2,plain_service,porto-a,127.0.0.1,7302,,orders\n";

class program_test : public ::testing::Test {
 protected:
  void SetUp() override {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    directory_ = std::filesystem::path(::testing::TempDir()) /
                 (std::string("comfreyspring-ctl-") + info->name());
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
    Write("sheet.csv", kSheetText);
    Write("fleet.csv", kFleetText);
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  std::string Path(const std::string& name) const {
    return (directory_ / name).string();
  }
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(Path(name), std::ios::binary) << text;
  }
  int RunWith(const argument_list& arguments) {
    out_.str("");
    errors_.str("");
    return RunProgram(arguments, out_, errors_);
  }
  /** Runs a sheet subcommand on sheet.csv and fleet.csv. */
  int RunSheet(const std::string& command, const argument_list& more = {}) {
    argument_list all = {"sheet",           command,   "--sheet",
                         Path("sheet.csv"), "--fleet", Path("fleet.csv")};
    all.insert(all.end(), more.begin(), more.end());
    return RunWith(all);
  }

  std::filesystem::path directory_;
  std::ostringstream out_;
  std::ostringstream errors_;
};

TEST_F(program_test, PrintsHelpForEveryCommand) {
  for (const argument_list& arguments :
       {argument_list{"--help"}, argument_list{"sheet", "--help"},
        argument_list{"sheet", "check", "--help"},
        argument_list{"sheet", "compile", "--help"},
        argument_list{"sheet", "diff", "--help"},
        argument_list{"state", "--help"}}) {
    EXPECT_EQ(RunWith(arguments), 0);
    EXPECT_NE(out_.str().find("Usage: comfreyspringctl"), std::string::npos);
    EXPECT_NE(out_.str().find("Exit code"), std::string::npos);
  }
}

TEST_F(program_test, InvalidUsageReturnsTwoAndPrintsOneLine) {
  for (const argument_list& arguments :
       {argument_list{}, argument_list{"sheets"}, argument_list{"sheet"},
        argument_list{"sheet", "print"}, argument_list{"sheet", "check"},
        argument_list{"sheet", "check", "--sheet"},
        argument_list{"sheet", "check", "--colour"},
        argument_list{"sheet", "check", "extra"},
        argument_list{"sheet", "check", "--sheet=", "--fleet="},
        argument_list{"sheet", "check", "--sheet=/none", "--fleet=/none"},
        argument_list{"sheet", "check", "--sheet=/tmp", "--fleet=/tmp"},
        argument_list{"sheet", "diff", "--sheet=/none", "--fleet=/none"},
        argument_list{"state"}, argument_list{"state", "--url=ftp://x"},
        argument_list{"state", "--url=http://"},
        argument_list{"state", "--url=http://127.0.0.1:1", "--count=0"},
        argument_list{"state", "--url=http://127.0.0.1:1", "--watch=yes"}}) {
    EXPECT_EQ(RunWith(arguments), 2) << ::testing::PrintToString(arguments);
    EXPECT_EQ(errors_.str().find('\n'), errors_.str().size() - 1);
  }
}

// Guards against crashes on arbitrary arguments.
RC_GTEST_PROP(Program, ArbitraryArgumentsReturnAnExitCode, ()) {
  const auto word = rc::gen::oneOf(
      rc::gen::element<std::string>("sheet", "check", "compile", "diff",
                                    "state", "--sheet", "--fleet", "--help",
                                    "--out=", "--generation=x", "--", "-"),
      rc::gen::arbitrary<std::string>());
  const auto arguments = *rc::gen::container<argument_list>(word);
  std::ostringstream out;
  std::ostringstream errors;
  const int code = RunProgram(arguments, out, errors);
  RC_ASSERT(code == 0 || code == 2);
}

TEST_F(program_test, ChecksAndCountsErrors) {
  EXPECT_EQ(RunSheet("check"), 0);
  EXPECT_EQ(out_.str(), "0 errors, 0 warnings.\n");
  Write("sheet.csv", kSheetText + "adapter,straps,bsae,v1,v9,\n");
  EXPECT_EQ(RunSheet("check"), 1);
  EXPECT_NE(out_.str().find("sheet.csv row 5, column model, value 'bsae'"),
            std::string::npos);
  EXPECT_NE(out_.str().find("3 errors, 0 warnings."), std::string::npos);
}

TEST_F(program_test, CompilesSuccessiveGenerations) {
  ASSERT_EQ(RunSheet("compile", {"--out", Path("one")}), 0) << errors_.str();
  EXPECT_EQ(sheet::ReadDocuments(Path("one")).version.generation, 1u);
  Write("sheet.csv", kSheetText + "adapter,seams,base,v1,v1,\n");
  EXPECT_EQ(RunSheet("diff", {"--previous", Path("one")}), 0);
  EXPECT_EQ(out_.str(),
            "+ adapter seams\n1 records change from generation 1.\n");
  ASSERT_EQ(
      RunSheet("compile", {"--out", Path("one"), "--previous", Path("one")}),
      0);
  const auto second = sheet::ReadDocuments(Path("one"));
  EXPECT_EQ(second.version.generation, 2u);
  EXPECT_EQ(second.adapters.size(), 2u);
  ASSERT_EQ(RunSheet("compile", {"--out", Path("one"), "--previous",
                                 Path("one"), "--generation=40"}),
            0);
  EXPECT_EQ(sheet::ReadDocuments(Path("one")).version.generation, 40u);
}

// Guards against a failed compilation overwriting valid documents.
TEST_F(program_test, WritesNothingWhenTheSheetHasErrors) {
  ASSERT_EQ(RunSheet("compile", {"--out", Path("one")}), 0);
  Write("sheet.csv", kSheetText + "adaptor,x,,,,\n");
  EXPECT_EQ(RunSheet("compile", {"--out", Path("one")}), 1);
  EXPECT_EQ(sheet::ReadDocuments(Path("one")).version.generation, 1u);
  Write("one/manifest.json", "{}");
  EXPECT_EQ(RunSheet("diff", {"--previous", Path("one")}), 2);
  EXPECT_EQ(RunSheet("compile", {"--out", Path("sheet.csv")}), 1);
  Write("sheet.csv", kSheetText);
  EXPECT_EQ(RunSheet("compile", {"--out", Path("sheet.csv")}), 2);
}

TEST_F(program_test, ReportsAnUnreachableProcess) {
  EXPECT_EQ(RunWith({"state", "--url", "http://127.0.0.1:1"}), 3);
  EXPECT_NE(errors_.str().find("Cannot reach http://127.0.0.1:1/debug/state"),
            std::string::npos);
}

/** Serves a fixed response on a separate thread. */
class state_server {
 public:
  explicit state_server(const net::http_response& response)
      : thread_([this, response] { Serve(response); }) {
    while (port_ == 0) std::this_thread::yield();
  }
  ~state_server() {
    is_done_ = true;
    thread_.join();
  }
  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(port_);
  }

 private:
  void Serve(const net::http_response& response) {
    net::event_loop loop;
    const net::http_server server(
        loop, {}, [response](std::shared_ptr<net::http_exchange> exchange) {
          exchange->Respond(exchange->Request().path == "/debug/state"
                                ? response
                                : net::http_response{404, {}, ""});
        });
    port_ = server.Port();
    // Wakes the loop periodically so that it checks is_done_.
    loop.SchedulePeriodic(core::milliseconds(5), [] {});
    loop.RunUntil([this] { return is_done_.load(); }, core::seconds(60));
  }

  std::atomic<int> port_{0};
  std::atomic<bool> is_done_{false};
  std::thread thread_;
};

TEST_F(program_test, PrintsTheStateTheRequestedNumberOfTimes) {
  const state_server server({200, {}, R"({"role":"entry"})"});
  EXPECT_EQ(RunWith({"state", "--url", server.Url() + "/"}), 0);
  EXPECT_EQ(out_.str(), "{\n  \"role\": \"entry\"\n}\n");
  EXPECT_EQ(RunWith({"state", "--watch", "--count=2", "--url",
                     server.Url() + "/debug/state"}),
            0);
  EXPECT_EQ(out_.str().size(),
            2 * std::string("{\n  \"role\": \"entry\"\n}\n").size());
}

// Guards against accepting an answer that is not a state document.
TEST_F(program_test, RejectsInvalidStateAnswers) {
  const state_server text({200, {}, "<html>"});
  EXPECT_EQ(RunWith({"state", "--url", text.Url()}), 3);
  const state_server failing({500, {}, "{}"});
  EXPECT_EQ(RunWith({"state", "--url", failing.Url()}), 3);
}

}  // namespace
}  // namespace comfreyspring::ctl
