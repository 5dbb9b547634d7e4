#include "discovery/endpoint_list.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace nettleyoke::node {
namespace {

ServerState read_state(const json::Value& item) {
  const std::string_view status = json::text(item, "status");
  if (status == "up") return ServerState::kReady;
  if (status == "draining") return ServerState::kDraining;
  if (status == "removed") return ServerState::kRemoved;
  json::throw_invalid("status", "up, draining or removed");
}

// A zone that is not in the directory gets the number after the directory's last zone.
int read_zone(const json::Value& item, const ZoneDirectory& directory) {
  const auto zone = std::find(directory.zones.begin(), directory.zones.end(), json::text(item, "zone"));
  return static_cast<int>(zone - directory.zones.begin());
}

double read_start_time(const json::Value& item, const Clock& clock) {
  constexpr std::uint64_t kMaxUnixMilliseconds = 1ULL << 53;
  const std::uint64_t since = std::min(json::unsigned_integer(item, "since_ms"), kMaxUnixMilliseconds);
  return clock.from_unix_ms(static_cast<std::int64_t>(since));
}

Endpoint read_endpoint(const json::Value& item, const ZoneDirectory& directory, const Clock& clock) {
  Endpoint result;
  Server& server = result.server;
  server.address = json::text(item, "name");
  server.state = read_state(item);
  // For a removed server the address is optional.
  if (json::find(item, "address") != nullptr || server.state != ServerState::kRemoved) {
    const auto endpoint = parse_endpoint(json::text(item, "address"));
    if (!endpoint) json::throw_invalid("address", "an IP address with a port");
    result.endpoint = *endpoint;
  }
  if (json::find(item, "zone") != nullptr) server.zone = read_zone(item, directory);
  server.cell = json::integer_or(item, "group", 0);
  server.weight = json::number_or(item, "weight", 1);
  if (json::find(item, "since_ms") != nullptr) server.started = read_start_time(item, clock);
  return result;
}

}  // namespace

EndpointListError::EndpointListError(std::string field, const std::string& message)
    : std::runtime_error(message), field_(std::move(field)) {}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(std::string(host), address_error);
  if (address_error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

EndpointList read_endpoint_list(const json::Value& object, const ZoneDirectory& directory,
                                const Clock& clock) {
  try {
    EndpointList list;
    list.version = json::unsigned_integer(object, "index");
    list.is_full = json::boolean_or_false(object, "snapshot");
    for (const json::Value& item : json::array(object, "endpoints").GetArray()) {
      list.endpoints.push_back(read_endpoint(item, directory, clock));
    }
    return list;
  } catch (const json::FieldError& error) {
    throw EndpointListError(error.field(), error.what());
  }
}

EndpointList parse_endpoint_list(std::string_view text, const ZoneDirectory& directory, const Clock& clock) {
  rapidjson::Document document;
  // The iterative parser does not overflow the stack on deeply nested text.
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) throw EndpointListError("", "endpoint list is not valid JSON");
  return read_endpoint_list(document, directory, clock);
}

}  // namespace nettleyoke::node
