#include "report/report.h"

#include "rapidjson/document.h"
#include "settings_reader.h"

namespace nettleyoke::lab {

void NodeResult::parse_stats(const std::string& line) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError() || !document.IsObject()) return;
  stats = line;
  const auto metric = [&document](const char* name) -> std::size_t {
    const json::Value* value = json::find(document, name);
    return value != nullptr && value->IsUint64() ? value->GetUint64() : 0;
  };
  hosts_listed = metric("hosts_listed");
  hosts_down = metric("hosts_down");
}

}  // namespace nettleyoke::lab
