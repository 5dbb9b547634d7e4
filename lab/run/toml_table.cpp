#include "run/toml_table.h"

#include <algorithm>
#include <cctype>
#include <cstdint>

#include "run/experiment_reader.h"

namespace nettleyoke::lab {
namespace {

constexpr std::size_t kMaxIdentifierLength = 64;

// The number without trailing zeros.
std::string format_number(double number) {
  std::string digits = std::to_string(number);
  digits.erase(digits.find_last_not_of('0') + 1);
  if (digits.back() == '.') digits.pop_back();
  return digits;
}

bool is_identifier_character(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '_';
}

}  // namespace

void TomlTable::reject(const std::string& field, const std::string& expected) const {
  const toml::node* node = table_->get(field);
  fail(node != nullptr ? node->source() : table_->source(), field, "must be " + expected);
}

double TomlTable::number(const char* field, std::optional<double> fallback, double min, double max) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kRequired);
  if (node == nullptr) return *fallback;
  const std::optional<double> value = node->value<double>();
  if (!node->is_number() || !value || !(*value >= min && *value <= max)) {
    reject(field, "a number from " + format_number(min) + " to " + format_number(max));
  }
  return *value;
}

int TomlTable::integer(const char* field, std::optional<int> fallback, int min, int max) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kRequired);
  if (node == nullptr) return *fallback;
  const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
  if (!value || *value < min || *value > max) {
    reject(field, "an integer from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return static_cast<int>(*value);
}

bool TomlTable::boolean(const char* field, bool fallback) {
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return fallback;
  const std::optional<bool> value = node->value_exact<bool>();
  if (!value) reject(field, "true or false");
  return *value;
}

std::string TomlTable::string(const char* field, const std::optional<std::string>& fallback) {
  const toml::node* node = find(field, fallback ? Presence::kOptional : Presence::kRequired);
  if (node == nullptr) return *fallback;
  std::optional<std::string> value = node->value_exact<std::string>();
  if (!value || value->empty()) reject(field, "a non-empty string");
  return *std::move(value);
}

std::string TomlTable::identifier(const char* field) {
  std::string value = string(field, std::nullopt);
  if (!std::all_of(value.begin(), value.end(), is_identifier_character) ||
      value.size() > kMaxIdentifierLength) {
    reject(field, "a name of at most " + std::to_string(kMaxIdentifierLength) + " letters, digits, - and _");
  }
  return value;
}

std::vector<std::string> TomlTable::strings(const char* field) {
  constexpr const char* kExpected = "a list of non-empty strings";
  std::vector<std::string> values;
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return values;
  if (!node->is_array()) reject(field, kExpected);
  for (const toml::node& item : *node->as_array()) {
    const std::optional<std::string> value = item.value_exact<std::string>();
    if (!value || value->empty()) reject(field, kExpected);
    values.push_back(*value);
  }
  return values;
}

TomlTable TomlTable::subtable(const char* field) {
  static const toml::table empty;
  const toml::node* node = find(field, Presence::kOptional);
  if (node == nullptr) return {*file_, field, empty};
  if (!node->is_table()) reject(field, "a table");
  return {*file_, field, *node->as_table()};
}

std::vector<TomlTable> TomlTable::tables(const char* field, Presence presence) {
  const std::string expected = "an array of tables ([[" + std::string(field) + "]])";
  std::vector<TomlTable> values;
  const toml::node* node = find(field, presence);
  if (node == nullptr) return values;
  if (!node->is_array()) reject(field, expected);
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_table()) reject(field, expected);
    values.emplace_back(*file_, field, *item.as_table());
  }
  return values;
}

void TomlTable::reject_unknown_fields() const {
  for (const auto& [key, node] : *table_) {
    const std::string field(key.str());
    if (!read_fields_.contains(field)) fail(node.source(), field, "is not a known field");
  }
}

const toml::node* TomlTable::find(const char* field, Presence presence) {
  read_fields_.insert(field);
  const toml::node* node = table_->get(field);
  if (node == nullptr && presence == Presence::kRequired) {
    fail(table_->source(), field, "is required");
  }
  return node;
}

void TomlTable::fail(const toml::source_region& where, const std::string& field,
                     const std::string& problem) const {
  const std::string qualified = name_.empty() ? field : name_ + "." + field;
  throw ExperimentError(*file_, where.begin.line, qualified + " " + problem);
}

}  // namespace nettleyoke::lab
