/// The endpoint list as discovery sends it, and its parsing.
///
/// Knows the words of discovery's JSON; holds no connection and decides nothing.
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

/// The names that discovery has for what the decision library knows by number.
struct ZoneDirectory {
  std::vector<std::string> zones;  ///< in the order of the zones' numbers
};

/// A server with the address at which it is reached.
struct Endpoint {
  Server server;  ///< its `address` is the server's name: the same at every node, as real addresses are not
  boost::asio::ip::tcp::endpoint endpoint;
};

/// One watch event: a complete endpoint list, or what changed in it.
struct EndpointList {
  std::uint64_t version = 0;
  bool is_full = false;
  std::vector<Endpoint> endpoints;
};

/// A watch event that can't be read.
class EndpointListError : public std::runtime_error {
 public:
  /// @param field the field that is at fault; empty where the text is no JSON at all.
  EndpointListError(std::string field, const std::string& message);

  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Reads "address:port", where an IPv6 address may stand in brackets. Nothing where the text is no such pair.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// @param clock turns the servers' Unix start times into the node's time.
/// @throws EndpointListError
[[nodiscard]] EndpointList read_endpoint_list(const json::Value& object, const ZoneDirectory& directory,
                                              const Clock& clock);

/// The same from a watch event's text.
/// @throws EndpointListError
[[nodiscard]] EndpointList parse_endpoint_list(std::string_view text, const ZoneDirectory& directory,
                                               const Clock& clock);

}  // namespace nettleyoke::node
