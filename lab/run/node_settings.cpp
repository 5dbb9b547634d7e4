#include "run/node_settings.h"

#include <algorithm>
#include <sstream>

#include "load/random_stream.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::lab {
namespace {

// Settings that are the same in all experiments.
// The value of a response after the latency objective; 1 is the value of a response before it.
constexpr double kLateValue = 0.5;
constexpr double kGranularitySeconds = 0.005;
constexpr double kNodeAnswerSlackSeconds = 0.02;
constexpr double kWatchDeadlineSeconds = 10;

class SettingsWriter {
 public:
  SettingsWriter(const Experiment& experiment, const NodePosition& position)
      : json_(buffer_), experiment_(experiment), position_(position) {}

  std::string write() {
    json_.StartObject();
    write_zones();
    write_bounds();
    write_classes();
    write_tenants();
    write_number("granularity", kGranularitySeconds);
    write_integer("peersTotal", position_.replica_count);
    write_integer("position", position_.replica_index);
    write_string("registryMode", experiment_.settings.must_watch ? "subscribe" : "automatic");
    write_rules();
    write_integer("stage", position_.tier);
    const std::vector<std::string>& zones = experiment_.nodes.zones;
    write_integer("zone",
                  static_cast<int>(std::find(zones.begin(), zones.end(), position_.zone) - zones.begin()));
    json_.EndObject();
    return {buffer_.GetString(), buffer_.GetSize()};
  }

 private:
  void write_string(const char* field, const std::string& value) {
    json_.Key(field);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void write_number(const char* field, double value) {
    json_.Key(field);
    json_.Double(value);
  }
  void write_integer(const char* field, int value) {
    json_.Key(field);
    json_.Int(value);
  }
  void write_boolean(const char* field, bool value) {
    json_.Key(field);
    json_.Bool(value);
  }

  void write_zones() {
    json_.Key("azs");
    json_.StartArray();
    for (const std::string& name : experiment_.nodes.zones) json_.String(name.c_str());
    json_.EndArray();
  }
  void write_bounds() {
    const SettingsSpec& settings = experiment_.settings;
    json_.Key("bounds");
    json_.StartObject();
    write_boolean("cancel", settings.cancel);
    write_integer("maxAttempts", settings.max_attempts);
    write_number("maxRetryAfter", settings.max_retry_after);
    write_boolean("retryAfter", settings.max_retry_after > 0);
    write_boolean("secondCopies", settings.allow_hedging);
    write_number("dialTimeout", settings.connect_timeout);
    write_number("idleClose", settings.server_idle_timeout);
    json_.EndObject();
  }
  void write_classes() {
    json_.Key("categories");
    json_.StartArray();
    for (const ClassSpec& spec : experiment_.classes) write_class(spec);
    json_.EndArray();
  }
  void write_class(const ClassSpec& spec) {
    json_.StartObject();
    write_string("name", spec.name);
    write_number("aim", spec.latency_objective);
    write_number("giveUp", spec.client_timeout);
    write_number("lateWorth", kLateValue);
    write_string("effect", effect_name(spec.idempotency));
    if (spec.idempotency == Idempotency::kIdempotencyKey) {
      write_string("group", "all");
      write_number("dedupWindow", spec.dedup_window);
    }
    json_.EndObject();
  }
  static const char* effect_name(Idempotency idempotency) {
    switch (idempotency) {
      case Idempotency::kIdempotent:
        return "safe";
      case Idempotency::kIdempotencyKey:
        return "keyed";
      case Idempotency::kNonIdempotent:
        break;
    }
    return "unsafe";
  }
  void write_tenants() {
    json_.Key("realms");
    json_.StartArray();
    for (const TenantSpec& spec : experiment_.tenants) {
      json_.StartObject();
      write_string("name", spec.name);
      write_number("share", spec.share);
      if (spec.quota > 0) write_number("allowancePerS", spec.quota);
      json_.EndObject();
    }
    json_.EndArray();
  }
  void write_rules() {
    const SettingsSpec& settings = experiment_.settings;
    json_.Key("rules");
    json_.StartObject();
    write_number("answerSlack", kNodeAnswerSlackSeconds);
    write_number("askWithin", kWatchDeadlineSeconds);
    write_number("drainGrace", settings.drain_grace);
    write_number("rampTime", settings.slow_start_duration);
    write_number("startCapacity", settings.initial_capacity);
    json_.EndObject();
  }

  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
  const Experiment& experiment_;
  const NodePosition& position_;
};

}  // namespace

std::string settings_json(const Experiment& experiment, const NodePosition& position) {
  return SettingsWriter(experiment, position).write();
}

std::string node_config_json(const Experiment& experiment, const NodePosition& position,
                             const NodeIdentity& identity) {
  const std::string seed = RandomStream(experiment.seed, "node " + identity.name).hex_id();
  std::ostringstream config;
  config << R"({"name":")" << identity.name << R"(","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":")"
         << identity.discovery << R"(","seed":")" << seed << R"(","limits":{"cores":1.0,"memory_mb":)"
         << experiment.nodes.memory_mb << R"(,"sockets":)" << experiment.nodes.descriptors << R"(},"known":)"
         << identity.endpoint_list << R"(,"settings":)" << settings_json(experiment, position) << "}";
  return config.str();
}

}  // namespace nettleyoke::lab
