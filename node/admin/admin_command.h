/// @file
/// The wire format of the admin server's commands and replies. A command is one line and gets one reply.
///
/// It parses commands and formats replies; it does not execute commands.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace nettleyoke::node {

/// READY: asks whether the node can serve.
struct ReadyCommand {};
/// STATS: asks for the metrics.
struct StatsCommand {};
/// DISABLE ID or ENABLE ID: disables or enables a server.
struct SetServerCommand {
  std::string server;
  bool enable = false;
};
/// A line that is not a valid command.
struct MalformedCommand {
  std::string reason;
};
using AdminCommand = std::variant<ReadyCommand, StatsCommand, SetServerCommand, MalformedCommand>;

/// @param line with or without a trailing "\n" or "\r\n"
[[nodiscard]] AdminCommand parse_admin_command(std::string_view line);

/// The reply for a condition that holds or a command that succeeded.
[[nodiscard]] std::string format_yes();
/// The reply for a condition that does not hold or a command that failed.
[[nodiscard]] std::string format_no(std::string_view reason);
/// The reply to STATS.
/// @param json one line, without a line end
[[nodiscard]] std::string format_stats(std::string_view json);

}  // namespace nettleyoke::node
