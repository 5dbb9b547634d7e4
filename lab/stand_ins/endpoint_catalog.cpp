#include "stand_ins/endpoint_catalog.h"

#include <cstddef>

#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::lab {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

const char* status_name(EndpointStatus status) {
  switch (status) {
    case EndpointStatus::kUp:
      return "up";
    case EndpointStatus::kDraining:
      return "draining";
    case EndpointStatus::kRemoved:
      break;
  }
  return "removed";
}

void write_text(Json& json, const char* field, const std::string& value) {
  json.Key(field);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_entry(Json& json, const EndpointEntry& entry) {
  json.StartObject();
  write_text(json, "name", entry.name);
  write_text(json, "address", entry.address);
  write_text(json, "zone", entry.zone);
  write_text(json, "type", "m1");
  json.Key("group");
  json.Int(0);
  write_text(json, "status", status_name(entry.status));
  json.Key("weight");
  json.Double(1);
  json.Key("since_ms");
  json.Int64(entry.since_ms);
  json.EndObject();
}

enum class ListForm { kFull, kChanges };

std::string list_json(std::uint64_t version, ListForm form,
                      const std::vector<const EndpointEntry*>& entries) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("index");
  json.Uint64(version);
  json.Key("snapshot");
  json.Bool(form == ListForm::kFull);
  json.Key("endpoints");
  json.StartArray();
  for (const EndpointEntry* entry : entries) write_entry(json, *entry);
  json.EndArray();
  json.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

void EndpointCatalog::set(const EndpointEntry& entry) {
  ++version_;
  history_.push_back(entry);
  if (entry.status == EndpointStatus::kRemoved) {
    entries_.erase(entry.name);
  } else {
    entries_[entry.name] = entry;
  }
}

std::string EndpointCatalog::full_list() const {
  std::vector<const EndpointEntry*> all;
  all.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) all.push_back(&entry);
  return list_json(version_, ListForm::kFull, all);
}

std::optional<std::string> EndpointCatalog::changes_after(std::uint64_t version) const {
  if (version > version_) return std::nullopt;
  std::map<std::string, const EndpointEntry*> last_by_name;
  for (std::size_t i = version; i < history_.size(); ++i) last_by_name[history_[i].name] = &history_[i];
  std::vector<const EndpointEntry*> changed;
  changed.reserve(last_by_name.size());
  for (const auto& [name, entry] : last_by_name) changed.push_back(entry);
  return list_json(version_, ListForm::kChanges, changed);
}

std::vector<EndpointEntry> EndpointCatalog::history_after(std::uint64_t version) const {
  if (version >= version_) return {};
  return {history_.begin() + static_cast<std::ptrdiff_t>(version), history_.end()};
}

}  // namespace nettleyoke::lab
