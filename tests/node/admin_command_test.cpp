/// The wire form of operators' calls.
#include "admin/admin_command.h"

#include <gtest/gtest.h>

namespace nettleyoke::node {
namespace {

std::string reason_against(std::string_view line) {
  const AdminCommand command = parse_admin_command(line);
  const auto* malformed = std::get_if<MalformedCommand>(&command);
  return malformed != nullptr ? malformed->reason : "";
}

TEST(AdminCommand, KnownCall_Parsed_HasItsType) {
  EXPECT_TRUE(std::holds_alternative<ReadyCommand>(parse_admin_command("READY\r\n")));
  EXPECT_TRUE(std::holds_alternative<StatsCommand>(parse_admin_command("STATS\n")));
  const AdminCommand enable = parse_admin_command("ENABLE s0\n");
  ASSERT_TRUE(std::holds_alternative<SetServerCommand>(enable));
  EXPECT_EQ(std::get<SetServerCommand>(enable).server, "s0");
  EXPECT_TRUE(std::get<SetServerCommand>(enable).enable);
  EXPECT_FALSE(std::get<SetServerCommand>(parse_admin_command("DISABLE s0")).enable);
}

TEST(AdminCommand, NoCall_Parsed_ReasonSaysWhatIsKnown) {
  EXPECT_EQ(reason_against("READY "), "READY takes no argument");
  EXPECT_EQ(reason_against("DISABLE"), "DISABLE takes exactly one server id");
  EXPECT_EQ(reason_against("ENABLE a b"), "ENABLE takes exactly one server id");
  EXPECT_EQ(reason_against("ready"), "unknown command; must be READY, STATS, DISABLE ID or ENABLE ID");
}

TEST(AdminCommand, Reply_Formatted_ToTheByte) {
  EXPECT_EQ(format_yes(), "YES\n");
  EXPECT_EQ(format_no("not ready"), "NO not ready\n");
  EXPECT_EQ(format_stats("{}"), "{}\nEND\n");
}

}  // namespace
}  // namespace nettleyoke::node
