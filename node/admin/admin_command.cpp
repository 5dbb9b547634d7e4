#include "admin/admin_command.h"

namespace nettleyoke::node {
namespace {

AdminCommand parse_query(std::string_view name, bool has_argument) {
  if (has_argument) return MalformedCommand{std::string(name) + " takes no argument"};
  if (name == "STATS") return StatsCommand{};
  return ReadyCommand{};
}

AdminCommand parse_server_command(std::string_view name, std::string_view server) {
  if (server.empty() || server.find(' ') != std::string_view::npos) {
    return MalformedCommand{std::string(name) + " takes exactly one server id"};
  }
  return SetServerCommand{std::string(server), name == "ENABLE"};
}

}  // namespace

AdminCommand parse_admin_command(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
  const std::size_t space = line.find(' ');
  const bool has_argument = space != std::string_view::npos;
  const std::string_view name = line.substr(0, space);
  if (name == "READY" || name == "STATS") return parse_query(name, has_argument);
  if (name == "DISABLE" || name == "ENABLE") {
    return parse_server_command(name, has_argument ? line.substr(space + 1) : std::string_view());
  }
  return MalformedCommand{"unknown command; must be READY, STATS, DISABLE ID or ENABLE ID"};
}

std::string format_yes() { return "YES\n"; }

std::string format_no(std::string_view reason) { return "NO " + std::string(reason) + "\n"; }

std::string format_stats(std::string_view json) { return std::string(json) + "\nEND\n"; }

}  // namespace nettleyoke::node
