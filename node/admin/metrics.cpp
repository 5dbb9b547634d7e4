#include "admin/metrics.h"

#include <utility>

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::node {

std::string Metrics::to_json(const Snapshot& now) const {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  json.StartObject();
  constexpr std::pair<const char*, RequestResult> kEnds[] = {{"success", RequestResult::kServed},
                                                             {"busy", RequestResult::kRejected},
                                                             {"failure", RequestResult::kFailed}};
  for (const auto& [field, end] : kEnds) {
    json.Key(field);
    json.StartObject();
    for (const auto& [name, counts] : ends_) {
      json.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
      json.Uint64(counts[static_cast<std::size_t>(end)]);
    }
    json.EndObject();
  }
  const std::pair<const char*, std::uint64_t> figures[] = {
      {"backend_calls", backend_calls_},  {"inflight", inflight_},
      {"hosts_listed", now.hosts_listed}, {"hosts_down", now.hosts_down},
      {"reconfig_ok", reconfig_ok_},      {"reconfig_failed", reconfig_failed_}};
  for (const auto& [field, figure] : figures) {
    json.Key(field);
    json.Uint64(figure);
  }
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

}  // namespace nettleyoke::node
