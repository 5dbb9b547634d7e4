/// What a node is configured with: the file that RELAY_CONFIG names.
///
/// Reads and checks the file; nothing here looks at the environment or puts a value in force.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "clock.h"
#include "discovery/endpoint_list.h"
#include "nettleyoke/settings.h"

namespace nettleyoke::node {

/// A configuration that can't be used.
class ConfigError : public std::runtime_error {
 public:
  /// Its text is "field: reason".
  /// @param field a key of the file, its section, or the environment variable that is at fault.
  ConfigError(std::string field, std::string reason);
  /// @param message the text for people, where it isn't the usual one.
  ConfigError(std::string field, std::string reason, const std::string& message);

  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;  ///< for clients
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> ops;  ///< where operators call, if they do
  std::uint64_t seed = 0;
  std::size_t memory_limit_bytes = 0;  ///< that the process may take
  std::size_t descriptor_limit = 0;    ///< that the process may hold
  std::size_t max_open = 0;            ///< requests that the decision library may be given at once
  double connect_timeout = 0;          ///< seconds
  double server_idle_timeout = 0;      ///< seconds
  Settings settings;
  std::vector<std::string> class_names;   ///< in the order of the settings
  std::vector<std::string> tenant_names;  ///< in the order of the settings
  ZoneDirectory directory;
  EndpointList known;          ///< the endpoint list to start with, which may be old
  std::set<std::string> keys;  ///< that the file has, which the next file has to have too
};

/// @param clock turns the Unix times of known servers into the node's time.
/// @throws ConfigError
[[nodiscard]] Config read_config(const std::string& path, const Clock& clock);

/// The same for a file that is to follow the configuration in force.
/// @throws ConfigError also where the file lacks a key that the last one had: a default would be a silent
/// guess.
[[nodiscard]] Config read_next_config(const std::string& path, const Clock& clock, const Config& in_force);

}  // namespace nettleyoke::node
