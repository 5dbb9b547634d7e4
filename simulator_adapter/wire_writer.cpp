#include "wire_writer.h"

#include <variant>

namespace nettleyoke::simulator_adapter {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes one action as a JSON object.
class ActionWriter {
 public:
  explicit ActionWriter(Json& json) : json_(json) {}

  void operator()(const StartAttempt& action) const {
    start("CALL_OUT");
    field("txn", action.id);
    field("server", action.server);
    field("patience", action.timeout);
    json_.EndObject();
  }
  void operator()(const Reject& action) const {
    start("SAY_NO");
    field("txn", action.id);
    if (action.retry_after > 0) field("notBeforeFor", action.retry_after);
    json_.EndObject();
  }
  void operator()(const Fail& action) const {
    start("ERROR");
    field("txn", action.id);
    json_.EndObject();
  }
  void operator()(const CancelAttempt& action) const {
    start("ABANDON");
    field("txn", action.id);
    json_.Key("try");
    json_.Int(action.attempt);
    json_.EndObject();
  }
  void operator()(const SetTimer& action) const {
    start("TIMER");
    field("dueAt", action.due_at);
    json_.Key("keyBack");
    json_.Uint64(action.token);
    json_.EndObject();
  }
  void operator()(const WatchMembership& /*action*/) const {
    start("TAIL");
    json_.Key("want");
    json_.Bool(true);
    json_.EndObject();
  }
  void operator()(const LogLine& action) const {
    start("JOURNAL_LINE");
    field("noteText", action.text);
    json_.EndObject();
  }
  /// Reports an exception that the library threw.
  void write_panic(const std::string& error) const {
    start("PANIC");
    json_.Key("noteText");
    json_.String(error.c_str());
    json_.EndObject();
  }

 private:
  void start(const char* kind) const {
    json_.StartObject();
    json_.Key("kind");
    json_.String(kind);
  }
  void field(const char* name, const std::string& value) const {
    json_.Key(name);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void field(const char* name, double value) const {
    json_.Key(name);
    json_.Double(value);
  }

  Json& json_;
};

}  // namespace

void WireWriter::begin(std::uint64_t turn) {
  buffer_.Clear();
  json_.Reset(buffer_);
  json_.StartObject();
  json_.Key("turn");
  json_.Uint64(turn);
  json_.Key("nodes");
  json_.StartArray();
}

void WireWriter::add_replica(int replica_id, const std::vector<Action>& actions,
                             const std::optional<std::string>& error) {
  if (actions.empty() && !error) return;
  json_.StartObject();
  json_.Key("who");
  json_.Int(replica_id);
  json_.Key("steps");
  json_.StartArray();
  const ActionWriter writer(json_);
  for (const Action& action : actions) std::visit(writer, action);
  if (error) writer.write_panic(*error);
  json_.EndArray();
  json_.EndObject();
}

void WireWriter::end() {
  json_.EndArray();
  json_.EndObject();
}

}  // namespace nettleyoke::simulator_adapter
