/// @file
/// Parsing of admin commands and formatting of their replies.
#include "admin/admin_command.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

// The reason why the line is not a valid command; empty if it is one.
std::string malformed_reason(std::string_view line) {
  const AdminCommand command = parse_admin_command(line);
  const auto* malformed = std::get_if<MalformedCommand>(&command);
  return malformed != nullptr ? malformed->reason : "";
}

TEST(AdminCommand, ValidCommand_Parsed_HasItsType) {
  EXPECT_TRUE(std::holds_alternative<ReadyCommand>(parse_admin_command("READY\r\n")));
  EXPECT_TRUE(std::holds_alternative<StatsCommand>(parse_admin_command("STATS\n")));
  const AdminCommand enable = parse_admin_command("ENABLE s0\n");
  ASSERT_TRUE(std::holds_alternative<SetServerCommand>(enable));
  EXPECT_EQ(std::get<SetServerCommand>(enable).server, "s0");
  EXPECT_TRUE(std::get<SetServerCommand>(enable).enable);
  EXPECT_FALSE(std::get<SetServerCommand>(parse_admin_command("DISABLE s0")).enable);
}

TEST(AdminCommand, MalformedCommand_Parsed_ReasonSaysWhatIsExpected) {
  EXPECT_EQ(malformed_reason("READY "), "READY takes no argument");
  EXPECT_EQ(malformed_reason("DISABLE"), "DISABLE takes exactly one server id");
  EXPECT_EQ(malformed_reason("ENABLE a b"), "ENABLE takes exactly one server id");
  EXPECT_EQ(malformed_reason("ready"), "unknown command; must be READY, STATS, DISABLE ID or ENABLE ID");
}

TEST(AdminCommand, Reply_Formatted_MatchesTheWireFormat) {
  EXPECT_EQ(format_yes(), "YES\n");
  EXPECT_EQ(format_no("not ready"), "NO not ready\n");
  EXPECT_EQ(format_stats("{}"), "{}\nEND\n");
}

}  // namespace
}  // namespace nettleyoke::node
