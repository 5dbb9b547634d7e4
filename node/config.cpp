#include "config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include "rapidjson/error/en.h"
#include "settings_reader.h"

namespace nettleyoke::node {
namespace {

constexpr const char* kFileVariable = "RELAY_CONFIG";

// ---------------------------------------------------------------- keys

void gather_keys(const json::Value& value, const std::string& path, std::set<std::string>& keys);

void gather_keys_of_object(const json::Value& object, const std::string& path, std::set<std::string>& keys) {
  for (const auto& entry : object.GetObject()) {
    std::string key = path + (path.empty() ? "" : ".");
    key.append(entry.name.GetString(), entry.name.GetStringLength());
    // The known servers are for the start alone.
    if (entry.value.IsNull() || key == "known") continue;
    keys.insert(key);
    gather_keys(entry.value, key, keys);
  }
}

// Of an array, the keys that each of its items has.
void gather_keys_of_array(const json::Value& array, const std::string& path, std::set<std::string>& keys) {
  std::set<std::string> common;
  for (rapidjson::SizeType i = 0; i < array.Size(); ++i) {
    std::set<std::string> keys_of_item;
    gather_keys(array[i], path + "[]", keys_of_item);
    std::set<std::string> in_both;
    std::set_intersection(common.begin(), common.end(), keys_of_item.begin(), keys_of_item.end(),
                          std::inserter(in_both, in_both.end()));
    common = i == 0 ? std::move(keys_of_item) : std::move(in_both);
  }
  keys.merge(common);
}

// Adds the paths of all keys in the value, which stands at `path` itself.
void gather_keys(const json::Value& value, const std::string& path, std::set<std::string>& keys) {
  if (value.IsObject()) gather_keys_of_object(value, path, keys);
  if (value.IsArray()) gather_keys_of_array(value, path, keys);
}

// Keys that may come and go: the settings' own page says so, or they belong to some classes alone.
bool is_optional(const std::string& key) {
  constexpr std::string_view kOptionalKeys[] = {
      "settings.categories[].aimStretch",  "settings.categories[].group",
      "settings.categories[].dedupWindow", "settings.familyInfo.passesDeadline",
      "settings.familyInfo.warmKeys",      "settings.realms[].allowancePerS"};
  return std::find(std::begin(kOptionalKeys), std::end(kOptionalKeys), key) != std::end(kOptionalKeys);
}

// ---------------------------------------------------------------- fields

std::uint64_t read_seed(const json::Value& document) {
  constexpr int kHexadecimal = 16;
  const std::string_view digits = json::text(document, "seed");
  std::uint64_t seed = 0;
  const auto [end, problem] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seed, kHexadecimal);
  if (problem != std::errc() || end != digits.data() + digits.size()) {
    json::throw_invalid("seed", "a hexadecimal number");
  }
  return seed;
}

boost::asio::ip::tcp::endpoint read_address(const json::Value& document, const char* field) {
  const auto endpoint = parse_endpoint(json::text(document, field));
  if (!endpoint) json::throw_invalid(field, "an address with a port");
  return *endpoint;
}

double read_timeout(const json::Value& bounds, const char* field, double default_seconds) {
  constexpr double kMaxSeconds = 1e6;
  const double seconds = json::number_or(bounds, field, default_seconds);
  if (!(seconds > 0 && seconds < kMaxSeconds)) json::throw_invalid(field, "a number above 0");
  return seconds;
}

std::vector<std::string> read_names(const json::Value& items) {
  std::vector<std::string> names;
  for (const json::Value& item : items.GetArray()) names.emplace_back(json::text(item, "name"));
  return names;
}

std::vector<std::string> read_zones(const json::Value& settings) {
  std::vector<std::string> zones;
  for (const json::Value& zone : json::array(settings, "azs").GetArray()) {
    if (!zone.IsString()) json::throw_invalid("azs", "an array of strings");
    zones.emplace_back(zone.GetString(), zone.GetStringLength());
  }
  return zones;
}

// ---------------------------------------------------------------- sections

void read_identity(const json::Value& document, Config& config) {
  config.name = json::find(document, "name") != nullptr ? std::string(json::text(document, "name")) : "node";
  config.listen = read_address(document, "listen");
  config.discovery = read_address(document, "discovery");
  if (json::find(document, "ops") != nullptr) config.ops = read_address(document, "ops");
  config.seed = read_seed(document);
}

void read_limits(const json::Value& document, Config& config) {
  constexpr int kDefaultSockets = 1024;
  constexpr int kMinSockets = 64;
  constexpr int kDefaultMemoryMegabytes = 192;
  constexpr int kMinMemoryMegabytes = 8;
  constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
  const json::Value* limits = json::find(document, "limits");
  const auto limit = [limits](const char* field, int default_limit) {
    return limits != nullptr ? json::integer_or(*limits, field, default_limit) : default_limit;
  };
  const int sockets = limit("sockets", kDefaultSockets);
  if (sockets < kMinSockets) json::throw_invalid("sockets", "at least 64");
  config.descriptor_limit = static_cast<std::size_t>(sockets);
  const int megabytes = limit("memory_mb", kDefaultMemoryMegabytes);
  if (megabytes < kMinMemoryMegabytes) json::throw_invalid("memory_mb", "at least 8");
  config.memory_limit_bytes = static_cast<std::size_t>(megabytes) * kBytesPerMegabyte;
}

void read_decision_settings(const json::Value& settings, Config& config) {
  config.settings = json::read_settings(settings);
  validate(config.settings);
  config.class_names = read_names(json::array(settings, "categories"));
  if (json::find(settings, "realms") != nullptr) {
    config.tenant_names = read_names(json::array(settings, "realms"));
  }
  if (json::find(settings, "azs") != nullptr) config.directory.zones = read_zones(settings);
}

void read_bounds(const json::Value& bounds, Config& config) {
  constexpr double kDefaultConnectSeconds = 0.25;
  constexpr double kDefaultIdleSeconds = 5;
  constexpr int kDefaultOpenRequests = 20000;
  config.connect_timeout = read_timeout(bounds, "dialTimeout", kDefaultConnectSeconds);
  config.server_idle_timeout = read_timeout(bounds, "idleClose", kDefaultIdleSeconds);
  const int max_open = json::integer_or(bounds, "maxOpen", kDefaultOpenRequests);
  if (max_open < 1) json::throw_invalid("maxOpen", "at least 1");
  config.max_open = static_cast<std::size_t>(max_open);
}

void read_known(const json::Value& document, const Clock& clock, Config& config) {
  const json::Value* known = json::find(document, "known");
  if (known != nullptr) config.known = read_endpoint_list(*known, config.directory, clock);
}

// The order of the sections decides which of several errors is reported.
Config read_document(const json::Value& document, const Clock& clock) {
  Config config;
  gather_keys(document, "", config.keys);
  read_identity(document, config);
  read_limits(document, config);
  const json::Value& settings = json::require(document, "settings");
  read_decision_settings(settings, config);
  read_bounds(json::require(settings, "bounds"), config);
  read_known(document, clock, config);
  return config;
}

rapidjson::Document parse_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(kFileVariable, "cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw ConfigError(kFileVariable, std::string("not valid JSON: ") +
                                         rapidjson::GetParseError_En(document.GetParseError()) + " at byte " +
                                         std::to_string(document.GetErrorOffset()));
  }
  return document;
}

}  // namespace

ConfigError::ConfigError(std::string field, std::string reason, const std::string& message)
    : std::runtime_error(message), field_(std::move(field)), reason_(std::move(reason)) {}

ConfigError::ConfigError(std::string field, std::string reason)
    : std::runtime_error(field + ": " + reason), field_(std::move(field)), reason_(std::move(reason)) {}

Config read_config(const std::string& path, const Clock& clock) {
  const rapidjson::Document document = parse_file(path);
  try {
    return read_document(document, clock);
  } catch (const json::FieldError& error) {
    throw ConfigError(error.field(), error.reason(), error.what());
  } catch (const EndpointListError& error) {
    throw ConfigError("known", error.what());
  } catch (const std::invalid_argument& error) {  // a value that the decision library doesn't take
    throw ConfigError("settings", error.what(), error.what());
  }
}

Config read_next_config(const std::string& path, const Clock& clock, const Config& in_force) {
  Config next = read_config(path, clock);
  for (const std::string& key : in_force.keys) {
    if (!next.keys.contains(key) && !is_optional(key)) {
      throw ConfigError(key, "is missing", std::string(kFileVariable) + ": field '" + key + "' is missing");
    }
  }
  return next;
}

}  // namespace nettleyoke::node
