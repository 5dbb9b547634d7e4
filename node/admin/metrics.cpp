#include "admin/metrics.h"

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::node {
namespace {

struct ResultKey {
  const char* key;
  RequestResult result;
};
constexpr ResultKey kResultKeys[] = {{"success", RequestResult::kServed},
                                     {"busy", RequestResult::kRejected},
                                     {"failure", RequestResult::kFailed}};

struct Counter {
  const char* key;
  std::uint64_t count;
};

}  // namespace

std::string Metrics::to_json(const Snapshot& snapshot) const {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  for (const ResultKey& entry : kResultKeys) {
    writer.Key(entry.key);
    writer.StartObject();
    for (const auto& [name, counts] : results_by_class_) {
      writer.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
      writer.Uint64(counts[static_cast<std::size_t>(entry.result)]);
    }
    writer.EndObject();
  }
  const Counter counters[] = {
      {"backend_calls", attempts_sent_},         {"inflight", requests_in_flight_},
      {"hosts_listed", snapshot.listed_servers}, {"hosts_down", snapshot.unavailable_servers},
      {"reconfig_ok", reloads_succeeded_},       {"reconfig_failed", reloads_failed_}};
  for (const Counter& counter : counters) {
    writer.Key(counter.key);
    writer.Uint64(counter.count);
  }
  writer.EndObject();
  return {text.GetString(), text.GetSize()};
}

}  // namespace nettleyoke::node
