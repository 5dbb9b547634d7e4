#include "run/node_settings.h"

#include <algorithm>
#include <sstream>

#include "load/random_stream.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::lab {
namespace {

// What experiments don't vary.
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
    number("granularity", kGranularitySeconds);
    whole("peersTotal", position_.replica_count);
    whole("position", position_.replica_index);
    text("registryMode", experiment_.settings.must_watch ? "subscribe" : "automatic");
    write_rules();
    whole("stage", position_.tier);
    const std::vector<std::string>& zones = experiment_.nodes.zones;
    whole("zone", static_cast<int>(std::find(zones.begin(), zones.end(), position_.zone) - zones.begin()));
    json_.EndObject();
    return {buffer_.GetString(), buffer_.GetSize()};
  }

 private:
  void text(const char* field, const std::string& value) {
    json_.Key(field);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void number(const char* field, double value) {
    json_.Key(field);
    json_.Double(value);
  }
  void whole(const char* field, int value) {
    json_.Key(field);
    json_.Int(value);
  }
  void flag(const char* field, bool value) {
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
    flag("cancel", settings.cancel);
    whole("maxAttempts", settings.max_attempts);
    number("maxRetryAfter", settings.max_retry_after);
    flag("retryAfter", settings.max_retry_after > 0);
    flag("secondCopies", settings.allow_hedging);
    number("dialTimeout", settings.connect_timeout);
    number("idleClose", settings.server_idle_timeout);
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
    text("name", spec.name);
    number("aim", spec.latency_objective);
    number("giveUp", spec.client_timeout);
    number("lateWorth", kLateValue);
    text("effect", effect_word(spec.idempotency));
    if (spec.idempotency == Idempotency::kIdempotencyKey) {
      text("group", "all");
      number("dedupWindow", spec.dedup_window);
    }
    json_.EndObject();
  }
  static const char* effect_word(Idempotency idempotency) {
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
      text("name", spec.name);
      number("share", spec.share);
      if (spec.quota > 0) number("allowancePerS", spec.quota);
      json_.EndObject();
    }
    json_.EndArray();
  }
  void write_rules() {
    const SettingsSpec& settings = experiment_.settings;
    json_.Key("rules");
    json_.StartObject();
    number("answerSlack", kNodeAnswerSlackSeconds);
    number("askWithin", kWatchDeadlineSeconds);
    number("drainGrace", settings.drain_grace);
    number("rampTime", settings.slow_start_duration);
    number("startCapacity", settings.initial_capacity);
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
