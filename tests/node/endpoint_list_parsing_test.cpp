/// @file
/// Endpoint lists in every layout in which a watch may deliver them.
#include <gtest/gtest.h>

#include "node_harness.h"

namespace nettleyoke::node {
namespace {

// An endpoint list on several lines, with a string that contains brackets and quotes.
std::string indented_list(int version, const std::string& name, const std::string& address) {
  return "{\n  \"index\": " + std::to_string(version) +
         ",\n  \"snapshot\": true,\r\n  \"note\": \"}]\\\"{\",\n" +
         "  \"endpoints\": [\n    {\n      \"name\": \"" + name + "\",\n      \"address\": \"" + address +
         "\",\n\t  \"zone\": \"a\",\n      \"status\": \"up\"\n    }\n  ]\n}\n";
}

TEST(EndpointListParsing, IndentedSplitAndJoinedListsAreRead) {
  FakeServer one(always_reply(200, "one"));
  FakeServer two(always_reply(200, "two"));
  FakeServer three(always_reply(200, "three"));
  Deployment deployment({&one});
  ASSERT_TRUE(deployment.discovery.send_raw(http_chunk(indented_list(8, "s1", two.address()) + "\n")));
  EXPECT_TRUE(eventually_answers(deployment.program->port(), "two", get_request("")));
  const std::string joined =
      indented_list(9, "s0", one.address()) + endpoint_list(10, true, endpoint("s2", three.address())) + "\n";
  std::string bytes;
  for (const char c : joined) bytes += http_chunk(std::string(1, c));
  ASSERT_TRUE(deployment.discovery.send_raw(bytes));
  EXPECT_TRUE(eventually_answers(deployment.program->port(), "three", get_request("")));
  EXPECT_EQ(deployment.discovery.calls().size(), 1U) << "the watch stays open";
}

// The lists after a truncated list must not be read as parts of it: the node would miss them while the watch
// stays open.
TEST(EndpointListParsing, TruncatedListIsRequestedAgainWithTheListsAfterIt) {
  FakeServer one(always_reply(200, "one"));
  FakeServer two(always_reply(200, "two"));
  for (const std::size_t cut : {std::size_t{12}, std::size_t{48}, std::size_t{75}}) {
    Deployment deployment({&one});
    const std::string next = endpoint_list(9, true, endpoint("s1", two.address())) + "\n";
    ASSERT_TRUE(deployment.discovery.send_list(endpoint_list(8, true, endpoint("s0", one.address()))));
    deployment.discovery.respond_with(kChunkedResponseHead + http_chunk(next));
    ASSERT_TRUE(deployment.discovery.send_raw(
        http_chunk(next.substr(0, cut) + "\n" + endpoint_list(10, false, "") + "\n\n")));
    EXPECT_TRUE(eventually_answers(deployment.program->port(), "two", get_request(""))) << cut;
    EXPECT_NE(deployment.discovery.calls().at(1).find("after=8 "), std::string::npos)
        << deployment.discovery.calls().at(1);
  }
}

}  // namespace
}  // namespace nettleyoke::node
