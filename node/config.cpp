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

constexpr const char* kConfigPathVariable = "RELAY_CONFIG";

// ---------------------------------------------------------------- keys

void collect_keys(const json::Value& value, const std::string& path, std::set<std::string>& keys);

void collect_keys_of_object(const json::Value& object, const std::string& path, std::set<std::string>& keys) {
  for (const auto& entry : object.GetObject()) {
    std::string key = path + (path.empty() ? "" : ".");
    key.append(entry.name.GetString(), entry.name.GetStringLength());
    // The initial endpoint list is used only at the start, so a reload does not require it.
    if (entry.value.IsNull() || key == "known") continue;
    keys.insert(key);
    collect_keys(entry.value, key, keys);
  }
}

// Adds the keys that all items of the array have.
void collect_keys_of_array(const json::Value& array, const std::string& path, std::set<std::string>& keys) {
  std::set<std::string> common_keys;
  for (rapidjson::SizeType i = 0; i < array.Size(); ++i) {
    std::set<std::string> item_keys;
    collect_keys(array[i], path + "[]", item_keys);
    std::set<std::string> intersection;
    std::set_intersection(common_keys.begin(), common_keys.end(), item_keys.begin(), item_keys.end(),
                          std::inserter(intersection, intersection.end()));
    common_keys = i == 0 ? std::move(item_keys) : std::move(intersection);
  }
  keys.merge(common_keys);
}

// Adds the paths of all keys in `value`; `path` is the path of `value` itself.
void collect_keys(const json::Value& value, const std::string& path, std::set<std::string>& keys) {
  if (value.IsObject()) collect_keys_of_object(value, path, keys);
  if (value.IsArray()) collect_keys_of_array(value, path, keys);
}

// Whether a reload may omit the key: the description of the settings declares it optional, or only some
// request classes have it.
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
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, kHexadecimal);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    json::throw_invalid("seed", "a hexadecimal number");
  }
  return seed;
}

boost::asio::ip::tcp::endpoint read_address(const json::Value& document, const char* field) {
  const auto endpoint = parse_endpoint(json::text(document, field));
  if (!endpoint) json::throw_invalid(field, "an IP address with a port");
  return *endpoint;
}

double read_timeout(const json::Value& bounds, const char* field, double default_seconds) {
  constexpr double kMaxSeconds = 1e6;
  const double seconds = json::number_or(bounds, field, default_seconds);
  if (!(seconds > 0 && seconds < kMaxSeconds))
    json::throw_invalid(field, "more than 0 and less than 1000000 seconds");
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
  if (json::find(document, "ops") != nullptr) config.admin_address = read_address(document, "ops");
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
  if (json::find(settings, "azs") != nullptr) config.zone_directory.zones = read_zones(settings);
}

void read_bounds(const json::Value& bounds, Config& config) {
  constexpr double kDefaultConnectTimeoutSeconds = 0.25;
  constexpr double kDefaultIdleTimeoutSeconds = 5;
  constexpr int kDefaultMaxOpenRequests = 20000;
  config.connect_timeout = read_timeout(bounds, "dialTimeout", kDefaultConnectTimeoutSeconds);
  config.server_idle_timeout = read_timeout(bounds, "idleClose", kDefaultIdleTimeoutSeconds);
  const int max_open_requests = json::integer_or(bounds, "maxOpen", kDefaultMaxOpenRequests);
  if (max_open_requests < 1) json::throw_invalid("maxOpen", "at least 1");
  config.max_open_requests = static_cast<std::size_t>(max_open_requests);
}

void read_initial_endpoint_list(const json::Value& document, const Clock& clock, Config& config) {
  const json::Value* list = json::find(document, "known");
  if (list != nullptr) config.initial_endpoint_list = read_endpoint_list(*list, config.zone_directory, clock);
}

// If several sections are invalid, the order of the sections decides which error is reported.
Config read_document(const json::Value& document, const Clock& clock) {
  Config config;
  collect_keys(document, "", config.present_keys);
  read_identity(document, config);
  read_limits(document, config);
  const json::Value& settings = json::require(document, "settings");
  read_decision_settings(settings, config);
  read_bounds(json::require(settings, "bounds"), config);
  read_initial_endpoint_list(document, clock, config);
  return config;
}

rapidjson::Document parse_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(kConfigPathVariable, "cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw ConfigError(kConfigPathVariable, std::string("is not valid JSON: ") +
                                               rapidjson::GetParseError_En(document.GetParseError()) +
                                               " at byte " + std::to_string(document.GetErrorOffset()));
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
  } catch (const std::invalid_argument& error) {  // a value that the decision library rejects
    throw ConfigError("settings", error.what(), error.what());
  }
}

Config read_next_config(const std::string& path, const Clock& clock, const Config& in_force) {
  Config next = read_config(path, clock);
  for (const std::string& key : in_force.present_keys) {
    if (!next.present_keys.contains(key) && !is_optional(key)) {
      throw ConfigError(key, "is missing",
                        std::string(kConfigPathVariable) + ": field '" + key + "' is missing");
    }
  }
  return next;
}

}  // namespace nettleyoke::node
