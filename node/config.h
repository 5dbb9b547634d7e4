/// @file
/// The configuration of a node: the file that RELAY_CONFIG names.
///
/// Reads and checks the file. It reads no environment variable and applies no value.
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

/// The configuration is missing, malformed or has an invalid value.
class ConfigError : public std::runtime_error {
 public:
  /// The message is "field: reason".
  /// @param field the key of the file, the section of the file or the environment variable that is invalid
  /// @param reason what is wrong with it
  ConfigError(std::string field, std::string reason);
  /// @param message the message, where it differs from "field: reason"
  ConfigError(std::string field, std::string reason, const std::string& message);

  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;  ///< address for clients
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  ///< none: the node has no admin server
  std::uint64_t seed = 0;
  std::size_t memory_limit_bytes = 0;  ///< of the process
  std::size_t descriptor_limit = 0;    ///< of the process
  std::size_t max_open_requests = 0;   ///< requests that the decision library may handle at once
  double connect_timeout = 0;          ///< seconds
  double server_idle_timeout = 0;      ///< seconds
  Settings settings;
  std::vector<std::string> class_names;   ///< in the order of `settings.classes`
  std::vector<std::string> tenant_names;  ///< in the order of `settings.tenants`
  ZoneDirectory zone_directory;
  EndpointList initial_endpoint_list;  ///< used until discovery sends one; may be out of date
  std::set<std::string> present_keys;  ///< keys of the file; a reload requires each that is not optional
};

/// Reads and checks a configuration file.
/// @param clock converts the Unix times in the initial endpoint list to the node's time
/// @throws ConfigError
[[nodiscard]] Config read_config(const std::string& path, const Clock& clock);

/// Reads and checks a configuration file that is to replace the configuration in force.
/// @throws ConfigError also if the file lacks a key that the configuration in force has, unless the key is
///   optional: a default would silently replace the value in force.
[[nodiscard]] Config read_next_config(const std::string& path, const Clock& clock, const Config& in_force);

}  // namespace nettleyoke::node
