/// @file
/// The endpoint list and the parser of discovery's JSON format. No I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "json_fields.h"
#include "nettleyoke/events.h"

namespace nettleyoke::node {

/// Maps the zone names that discovery uses to the zone numbers of the decision library.
struct ZoneDirectory {
  std::vector<std::string> zones;  ///< the index is the zone number
};

/// A server and its network address.
struct Endpoint {
  /// Its `address` is the server's name, which is the same on every node; network addresses are not.
  Server server;
  boost::asio::ip::tcp::endpoint endpoint;
};

/// One watch event: a complete endpoint list or the entries that changed.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_full = false;  ///< complete list: servers that it does not contain are removed
  std::vector<Endpoint> endpoints;
};

/// A watch event that is malformed.
class EndpointListError : public std::runtime_error {
 public:
  /// @param field the invalid field; empty if the text is not valid JSON
  EndpointListError(std::string field, const std::string& message);

  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Parses "address:port" with an IP address, not a host name; an IPv6 address may be in brackets.
/// @return nothing if the text has another form
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Reads a watch event from a parsed JSON object.
/// @param clock converts the servers' start times from Unix time to the node's clock
/// @throws EndpointListError if a field is missing or invalid
[[nodiscard]] EndpointList read_endpoint_list(const json::Value& object, const ZoneDirectory& directory,
                                              const Clock& clock);

/// Parses the JSON text of a watch event.
/// @throws EndpointListError if the text is not valid JSON, or a field is missing or invalid
[[nodiscard]] EndpointList parse_endpoint_list(std::string_view text, const ZoneDirectory& directory,
                                               const Clock& clock);

}  // namespace nettleyoke::node
