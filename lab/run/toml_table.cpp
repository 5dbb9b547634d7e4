#include "run/toml_table.h"

#include <algorithm>
#include <cctype>
#include <cstdint>

#include "run/experiment_reader.h"

namespace nettleyoke::lab {
namespace {

constexpr std::size_t kMaxWordLength = 64;

// A number without needless zeros.
std::string plain(double number) {
  std::string digits = std::to_string(number);
  digits.erase(digits.find_last_not_of('0') + 1);
  if (digits.back() == '.') digits.pop_back();
  return digits;
}

bool is_word_letter(unsigned char letter) {
  return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
}

}  // namespace

void TomlTable::reject(const std::string& field, const std::string& wanted) const {
  const toml::node* node = table_->get(field);
  fail(node != nullptr ? node->source() : table_->source(), field, wanted);
}

double TomlTable::number(const char* field, std::optional<double> fallback, double min, double max) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kNeeded);
  if (node == nullptr) return *fallback;
  const std::optional<double> value = node->value<double>();
  if (!node->is_number() || !value || !(*value >= min && *value <= max)) {
    reject(field, "a number from " + plain(min) + " to " + plain(max));
  }
  return *value;
}

int TomlTable::whole(const char* field, std::optional<int> fallback, int min, int max) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kNeeded);
  if (node == nullptr) return *fallback;
  const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
  if (!value || *value < min || *value > max) {
    reject(field, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return static_cast<int>(*value);
}

bool TomlTable::flag(const char* field, bool fallback) {
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return fallback;
  const std::optional<bool> value = node->value_exact<bool>();
  if (!value) reject(field, "true or false");
  return *value;
}

std::string TomlTable::text(const char* field, const std::optional<std::string>& fallback) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kNeeded);
  if (node == nullptr) return *fallback;
  std::optional<std::string> value = node->value_exact<std::string>();
  if (!value || value->empty()) reject(field, "a text");
  return *std::move(value);
}

std::string TomlTable::word(const char* field) {
  std::string value = text(field, std::nullopt);
  if (!std::all_of(value.begin(), value.end(), is_word_letter) || value.size() > kMaxWordLength) {
    reject(field, "a word of letters, digits, - and _");
  }
  return value;
}

std::vector<std::string> TomlTable::texts(const char* field) {
  constexpr const char* kWanted = "a list of words";
  std::vector<std::string> values;
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return values;
  if (!node->is_array()) reject(field, kWanted);
  for (const toml::node& item : *node->as_array()) {
    const std::optional<std::string> value = item.value_exact<std::string>();
    if (!value || value->empty()) reject(field, kWanted);
    values.push_back(*value);
  }
  return values;
}

TomlTable TomlTable::table(const char* field) {
  static const toml::table empty;
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return {*file_, field, empty};
  if (!node->is_table()) reject(field, "a table");
  return {*file_, field, *node->as_table()};
}

std::vector<TomlTable> TomlTable::tables(const char* field, Presence presence) {
  const std::string wanted = "a list of tables ([[" + std::string(field) + "]])";
  std::vector<TomlTable> values;
  const toml::node* node = find(field, presence);
  if (node == nullptr) return values;
  if (!node->is_array()) reject(field, wanted);
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_table()) reject(field, wanted);
    values.emplace_back(*file_, field, *item.as_table());
  }
  return values;
}

void TomlTable::reject_unknown_fields() const {
  for (const auto& [key, node] : *table_) {
    const std::string field(key.str());
    if (!read_fields_.contains(field)) fail(node.source(), field, "a field that is known here");
  }
}

const toml::node* TomlTable::find(const char* field, Presence presence) {
  read_fields_.insert(field);
  const toml::node* node = table_->get(field);
  if (node == nullptr && presence == Presence::kNeeded) {
    fail(table_->source(), field, "there, and it is needed");
  }
  return node;
}

void TomlTable::fail(const toml::source_region& where, const std::string& field,
                     const std::string& wanted) const {
  const std::string qualified = name_.empty() ? field : name_ + "." + field;
  throw ExperimentError(*file_, where.begin.line, qualified + " is not " + wanted);
}

}  // namespace nettleyoke::lab
