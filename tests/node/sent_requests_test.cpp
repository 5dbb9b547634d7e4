/// @file
/// Unit tests of SentRequests and of the table that the processes of a node share.
#include "takeover/sent_requests.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace nettleyoke::node {
namespace {

using namespace std::chrono_literals;

class SentRequestsTest : public ::testing::Test {
 protected:
  void SetUp() override { std::filesystem::create_directory(directory); }
  void TearDown() override { std::filesystem::remove_all(directory); }

  const SentRequests::TimePoint start{1h};
  const std::string directory = testing::TempDir() + "/sent_requests_" + std::to_string(getpid());
};

TEST_F(SentRequestsTest, RequestIsKnownUntilItIsRemovedOrExpires) {
  SentRequests requests("");
  requests.add("a", start);
  requests.add("b", start + 1s);
  EXPECT_TRUE(requests.contains("a", start + 59s));
  EXPECT_FALSE(requests.contains("c", start));
  requests.remove("a");
  EXPECT_FALSE(requests.contains("a", start + 2s));
  EXPECT_TRUE(requests.contains("b", start + SentRequests::kRetention));
  EXPECT_FALSE(requests.contains("b", start + 1s + SentRequests::kRetention));
}

TEST_F(SentRequestsTest, OldestAreForgottenBeyondTheLimit) {
  SentRequests requests("");
  for (std::size_t i = 0; i <= SentRequests::kMaxRequests; ++i) requests.add("r" + std::to_string(i), start);
  EXPECT_FALSE(requests.contains("r0", start));
  EXPECT_TRUE(requests.contains("r1", start));
}

TEST_F(SentRequestsTest, RequestIsKnownToTheOtherProcess) {
  SentRequests one(directory);
  SentRequests other(directory);
  one.add("a", start);
  one.add("b", start);
  EXPECT_TRUE(other.contains("a", start));
  EXPECT_FALSE(other.contains("a", start + SentRequests::kRetention));
  one.remove("a");
  EXPECT_FALSE(other.contains("a", start));
  EXPECT_TRUE(other.contains("b", start));
  EXPECT_TRUE(SentRequests(directory).contains("b", start)) << "a process that starts later knows it too";
}

TEST_F(SentRequestsTest, FullGroupReplacesTheEntryThatExpiresFirst) {
  SharedIdTable table(directory);
  constexpr std::uint64_t kSameGroup = 2048;
  for (std::uint64_t i = 0; i < 5; ++i) {
    table.insert(i * kSameGroup, start, start + std::chrono::seconds(10 + i));
  }
  EXPECT_FALSE(table.contains(0, start));
  for (std::uint64_t i = 1; i < 5; ++i) EXPECT_TRUE(table.contains(i * kSameGroup, start)) << i;
  table.insert(kSameGroup, start + 11s, start + 30s);
  EXPECT_TRUE(table.contains(kSameGroup, start + 20s)) << "the entry of the same id is replaced";
  EXPECT_TRUE(table.contains(2 * kSameGroup, start + 11s));
}

TEST_F(SentRequestsTest, TruncatedFileAndMissingDirectoryAreAnEmptyTable) {
  std::ofstream(directory + "/" + SharedIdTable::kFileName) << "half an entry";
  SharedIdTable table(directory);
  EXPECT_FALSE(table.contains(0, start));
  table.insert(7, start, start + 1s);
  EXPECT_TRUE(table.contains(7, start));
  SharedIdTable missing("/nowhere/at/all");
  missing.insert(7, start, start + 1s);
  EXPECT_FALSE(missing.contains(7, start));
}

}  // namespace
}  // namespace nettleyoke::node
