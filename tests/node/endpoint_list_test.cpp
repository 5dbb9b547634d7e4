/// @file
/// Watch events: splitting the byte stream into objects, and parsing these as endpoint lists.
#include "discovery/endpoint_list.h"

#include <gtest/gtest.h>

#include "discovery/object_splitter.h"

namespace nettleyoke::node {
namespace {

const ZoneDirectory zones{{"east", "west"}};

// "field|message" of the error; "none" if the list is valid.
std::string parse_error(std::string_view text) {
  try {
    static_cast<void>(parse_endpoint_list(text, zones, Clock()));
  } catch (const EndpointListError& error) {
    return error.field() + "|" + error.what();
  }
  return "none";
}

TEST(EndpointListParsing, ServerWithAllFields_Parsed_EachFieldIsSet) {
  const EndpointList list = parse_endpoint_list(
      R"({"index":9,"snapshot":true,"endpoints":[{"name":"s0","address":"[::1]:80","status":"draining",)"
      R"("zone":"west","group":3,"weight":2.5}]})",
      zones, Clock());
  EXPECT_EQ(list.version, 9U);
  EXPECT_TRUE(list.is_full);
  ASSERT_EQ(list.endpoints.size(), 1U);
  const Endpoint& endpoint = list.endpoints[0];
  EXPECT_EQ(endpoint.endpoint, parse_endpoint("[::1]:80"));
  EXPECT_EQ(endpoint.server.address, "s0");
  EXPECT_EQ(endpoint.server.state, ServerState::kDraining);
  EXPECT_EQ(endpoint.server.zone, 1);
  EXPECT_EQ(endpoint.server.cell, 3);
  EXPECT_EQ(endpoint.server.weight, 2.5);
}

TEST(EndpointListParsing, RemovedServerWithoutAddress_Parsed_Accepted) {
  const EndpointList list =
      parse_endpoint_list(R"({"index":1,"endpoints":[{"name":"s0","status":"removed"}]})", zones, Clock());
  ASSERT_EQ(list.endpoints.size(), 1U);
  EXPECT_EQ(list.endpoints[0].server.state, ServerState::kRemoved);
}

TEST(EndpointListParsing, InvalidField_Parsed_ErrorNamesIt) {
  EXPECT_EQ(parse_error("{"), "|endpoint list is not valid JSON");
  EXPECT_EQ(parse_error("{}"), "index|field 'index' is missing");
  EXPECT_EQ(parse_error(R"({"index":1,"endpoints":[{"name":"s","status":"well"}]})"),
            "status|field 'status' must be up, draining or removed");
  EXPECT_EQ(parse_error(R"({"index":1,"endpoints":[{"name":"s","status":"up","address":"x:1"}]})"),
            "address|field 'address' must be an IP address with a port");
}

TEST(ObjectSplitter, ObjectsSplitAndJoined_Appended_EachIsExtracted) {
  using Item = ObjectSplitter::Item;
  ObjectSplitter splitter;
  std::string object;
  splitter.append("\n{\"a\":\"}\\\"\"");
  EXPECT_EQ(splitter.next(object), Item::kEmptyLine);
  EXPECT_EQ(splitter.next(object), Item::kNone);
  EXPECT_TRUE(splitter.is_inside_object());
  splitter.append("} {\"b\":[1]}");
  EXPECT_EQ(splitter.next(object), Item::kObject);
  EXPECT_EQ(object, "{\"a\":\"}\\\"\"}");
  EXPECT_EQ(splitter.next(object), Item::kObject);
  EXPECT_EQ(object, "{\"b\":[1]}");
  EXPECT_EQ(splitter.next(object), Item::kNone);
}

TEST(ObjectSplitter, ObjectTruncated_EmptyLineFollows_Malformed) {
  ObjectSplitter splitter;
  std::string object;
  splitter.append("{\"a\":\n\n");
  EXPECT_EQ(splitter.next(object), ObjectSplitter::Item::kMalformed);
}

}  // namespace
}  // namespace nettleyoke::node
