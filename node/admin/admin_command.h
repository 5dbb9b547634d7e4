/// The wire form of operators' calls: one line in, one reply out.
///
/// Knows how a call and a reply are spelled, and nothing of what a call does.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace nettleyoke::node {

/// READY: whether the node can serve.
struct ReadyCommand {};
/// STATS: the metrics.
struct StatsCommand {};
/// DISABLE ID and ENABLE ID.
struct SetServerCommand {
  std::string server;
  bool enable = false;
};
/// A line that is no call.
struct MalformedCommand {
  std::string reason;
};
using AdminCommand = std::variant<ReadyCommand, StatsCommand, SetServerCommand, MalformedCommand>;

/// @param line with or without its end, which may be "\n" or "\r\n".
[[nodiscard]] AdminCommand parse_admin_command(std::string_view line);

/// It is so, or it is done.
[[nodiscard]] std::string format_yes();
/// It isn't so, or can't be done.
[[nodiscard]] std::string format_no(std::string_view reason);
/// @param json one line, without its end.
[[nodiscard]] std::string format_stats(std::string_view json);

}  // namespace nettleyoke::node
