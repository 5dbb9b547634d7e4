// The lab's program with real nodes. The tests check only results that don't depend on timing.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rapidjson/document.h"

namespace {

namespace fs = std::filesystem;

std::string text_of(const fs::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string experiment(const std::string& name) { return std::string(EXPERIMENTS) + "/" + name + ".toml"; }

// One run of the program, in a temporary folder that is removed with the object.
class LabProgram {
 public:
  explicit LabProgram(const std::vector<std::string>& arguments) {
    folder_ = fs::path(testing::TempDir()) / ("lab_" + std::to_string(getpid()));
    fs::create_directories(folder_);
    pid_ = ::fork();
    if (pid_ == 0) {
      std::freopen((folder_ / "out").c_str(), "w", stdout);
      std::freopen((folder_ / "err").c_str(), "w", stderr);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      std::vector<std::string> all{LAB_PROGRAM};
      all.insert(all.end(), arguments.begin(), arguments.end());
      all.insert(all.end(), {"--results", (folder_ / "results").string()});
      std::vector<char*> values;
      values.reserve(all.size() + 1);
      for (std::string& value : all) values.push_back(value.data());
      values.push_back(nullptr);
      ::execv(LAB_PROGRAM, values.data());
      ::_exit(127);
    }
  }
  ~LabProgram() {
    if (pid_ > 0) ::kill(pid_, SIGKILL);
    if (testing::Test::HasFailure()) std::fputs((text_of(folder_ / "out") + errors()).c_str(), stderr);
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
  LabProgram(const LabProgram&) = delete;
  LabProgram& operator=(const LabProgram&) = delete;

  int exit_status() {
    int wait_status = 0;
    ::waitpid(std::exchange(pid_, -1), &wait_status, 0);
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -1;
  }
  void signal(int number) const { ::kill(pid_, number); }
  std::string errors() const { return text_of(folder_ / "err"); }
  const fs::path& folder() const { return folder_; }
  rapidjson::Document results(const std::string& name) const {
    rapidjson::Document document;
    document.Parse(text_of(folder_ / "results" / (name + ".json")).c_str());
    EXPECT_FALSE(document.HasParseError());
    return document;
  }
  // The number of this run's node processes: those whose configuration file is in the folder.
  int running_nodes() const {
    int count = 0;
    for (const fs::directory_entry& process : fs::directory_iterator("/proc")) {
      count +=
          text_of(process.path() / "environ").find("RELAY_CONFIG=" + folder_.string()) != std::string::npos;
    }
    return count;
  }

 private:
  fs::path folder_;
  pid_t pid_ = -1;
};

TEST(LabProgram, BadExperimentFile_ExitStatus2) {
  LabProgram lab({"run", "no-such-file.toml"});
  EXPECT_EQ(lab.exit_status(), 2);
  EXPECT_NE(lab.errors().find("no-such-file.toml:1: "), std::string::npos) << lab.errors();
}

TEST(LabProgram, BriefExperiment_NoViolationsAndResultsWritten) {
  const std::string json_file = testing::TempDir() + "/lab_json_" + std::to_string(getpid()) + ".json";
  LabProgram lab({"run", experiment("brief"), "--seed", "5", "--json", json_file});
  ASSERT_EQ(lab.exit_status(), 0);
  EXPECT_EQ(text_of(json_file), text_of(lab.folder() / "results" / "brief-5.json"));
  std::remove(json_file.c_str());
  const rapidjson::Document results = lab.results("brief-5");
  ASSERT_TRUE(results.IsObject());
  EXPECT_TRUE(results["good"].GetBool());
  EXPECT_EQ(results["seed"].GetUint64(), 5U);
  EXPECT_TRUE(results["breaks"].ObjectEmpty());
  std::uint64_t calls = 0, served = 0;
  for (const rapidjson::Value& node : results["nodes"].GetArray()) {
    calls += node["calls"].GetUint64();
    served += node["served"].GetUint64();
    // The faults must not lose an update: a hollow node uses the latest version, and the agent of a real node
    // has it.
    EXPECT_EQ(node["list_index"].GetUint64(), node["latest_index"].GetUint64());
    EXPECT_GE(node["watch_calls"].GetUint64(), 1U);
    EXPECT_EQ(node["stats"]["inflight"].GetUint64(), 0U);
    EXPECT_EQ(node["lost"].GetUint64(), 0U);
  }
  EXPECT_GT(calls, 0U);
  EXPECT_GT(served, 0U);
  EXPECT_EQ(lab.running_nodes(), 0);
}

TEST(LabProgram, TwoTiers_ServersOfTheFirstCallTheSecond) {
  LabProgram lab({"run", experiment("brief-tiers")});
  ASSERT_EQ(lab.exit_status(), 0);
  const rapidjson::Document results = lab.results("brief-tiers-4");
  ASSERT_TRUE(results.IsObject());
  std::uint64_t served[2] = {0, 0};
  for (const rapidjson::Value& node : results["nodes"].GetArray()) {
    served[node["tier"].GetUint64()] += node["served"].GetUint64();
  }
  // One node in front of the first tier, and one for each server of that tier.
  EXPECT_EQ(results["nodes"].Size(), 4U);
  EXPECT_GT(served[0], 0U);
  EXPECT_GE(served[1], served[0]);  // each call served by the first tier includes one served by the second
}

TEST(LabProgram, NodesFailToStart_ExitStatus1) {
  LabProgram lab({"run", experiment("brief"), "--node", "/bin/false"});
  EXPECT_EQ(lab.exit_status(), 1);
  EXPECT_NE(lab.errors().find("a node exited during startup"), std::string::npos) << lab.errors();
}

TEST(LabProgram, Running_Terminated_ExitStatus130PartialResultsAndNoNodeRunning) {
  LabProgram lab({"run", experiment("first")});
  for (const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
       lab.errors().find("\"running load\"") == std::string::npos &&
       std::chrono::steady_clock::now() < until;) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  EXPECT_EQ(lab.running_nodes(), 2);
  lab.signal(SIGTERM);
  EXPECT_EQ(lab.exit_status(), 130);
  EXPECT_EQ(lab.running_nodes(), 0);
  const rapidjson::Document results = lab.results("first-7");
  ASSERT_TRUE(results.IsObject());
  EXPECT_TRUE(results["cut_off"].GetBool());
  EXPECT_FALSE(results["good"].GetBool());
}

}  // namespace
