// Experiment files: an error names the file, the line and the field.
#include "run/experiment_reader.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace nettleyoke::lab {
namespace {

constexpr const char* kGoodFile = R"(seconds = 1.0
[[class]]
name = "look"
effect = "safe"
aim = 0.5
give_up = 1.0
work_ms = 1.0
[[servers]]
count = 2
[[callers]]
per_second = 10.0
)";

// Returns the error for an experiment file with this text, without the leading file name; empty if it is
// valid.
std::string error_of(const std::string& text) {
  const std::string path = testing::TempDir() + "/experiment_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << text;
  std::string error;
  try {
    static_cast<void>(read_experiment(path));
  } catch (const ExperimentError& exception) {
    error = exception.what();
    EXPECT_EQ(error.compare(0, path.size(), path), 0) << error;
    error.erase(0, path.size());
  }
  std::remove(path.c_str());
  return error;
}

TEST(ExperimentReader, InvalidFile_ErrorNamesItsLineAndField) {
  const std::string good = kGoodFile;
  EXPECT_EQ(error_of(good), "");
  EXPECT_EQ(error_of("seconds = 1.0 2"), ":1: " + error_of("seconds = 1.0 2").substr(4));
  EXPECT_EQ(error_of("seconds = \"long\"\n"), ":1: seconds must be a number from 0.1 to 600");
  EXPECT_EQ(error_of(good + "retires = 2\n"), ":12: callers.retires is not a known field");
  EXPECT_EQ(error_of(good + "zone = \"b\"\n"), ":12: callers.zone must be one of the zones in nodes.zones");
  EXPECT_EQ(
      error_of(good + "[[change]]\nat = 0.5\nkind = \"hang\"\nserver = \"s2\"\n"),
      ":15: change.server must be the name of a server (s0, s1 ... in tier 0; t1-s0, t1-s1 ... in tier 1)");
  EXPECT_EQ(error_of(good + "[[change]]\nat = 2.0\nkind = \"reset\"\n"),
            ":13: change.at must be a number from 0 to 1");
  EXPECT_EQ(error_of(good + "[[servers]]\ncount = 1\ntier = 2\n"),
            ":8: servers must be in consecutive tiers that start at 0");
  EXPECT_EQ(error_of(good + "[nodes]\ncount = 0\n"),
            ":13: nodes.count must be at least 1 when nodes.hollow is 0");
}

TEST(ExperimentReader, EachFaultWord_IsReadAndWrittenUnchanged) {
  const std::string words = fault_kind_names();
  EXPECT_EQ(words, "hang, slow, fail, mend, crash, start, drain, remove, silence, reset, stall, late, cut");
  for (const char* word : {"hang", "slow", "fail", "mend", "crash", "start", "drain", "remove", "silence",
                           "reset", "stall", "late", "cut"}) {
    const auto kind = fault_kind_from_name(word);
    ASSERT_TRUE(kind) << word;
    EXPECT_STREQ(fault_kind_name(*kind), word);
  }
  EXPECT_FALSE(fault_kind_from_name("explode"));
}

}  // namespace
}  // namespace nettleyoke::lab
