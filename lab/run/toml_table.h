/// @file
/// A table of a TOML file, read field by field with type and range checks. It contains nothing specific to
/// experiments.
#pragma once

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nettleyoke::lab {

/// Reads fields by name; reject_unknown_fields() rejects every field that has not been read. All readers
/// throw ExperimentError, which names the file, the line and the field. The parsed file must outlive this
/// object.
class TomlTable {
 public:
  /// @param name the table's name in errors; empty for the top-level table
  TomlTable(const std::string& file, std::string name, const toml::table& table)
      : file_(&file), name_(std::move(name)), table_(&table) {}

  /// @param expected what the field must be; the error reads "FIELD must be EXPECTED"
  /// @throws ExperimentError always
  [[noreturn]] void reject(const std::string& field, const std::string& expected) const;

  /// @param fallback the value of a missing field; without a fallback the field is required
  double number(const char* field, std::optional<double> fallback, double min, double max);
  int integer(const char* field, std::optional<int> fallback, int min, int max);
  bool boolean(const char* field, bool fallback);
  /// A string that is not empty.
  std::string string(const char* field, const std::optional<std::string>& fallback);
  /// A required string of letters, digits, - and _, which is valid in a header and in a path.
  std::string identifier(const char* field);
  /// A list of strings; empty when the field is missing.
  std::vector<std::string> strings(const char* field);
  /// A table within this one; an empty table when the field is missing.
  TomlTable subtable(const char* field);
  enum class Presence { kRequired, kOptional };
  /// An array of tables ([[field]]).
  std::vector<TomlTable> tables(const char* field, Presence presence);

  void reject_unknown_fields() const;

 private:
  const toml::node* find(const char* field, Presence presence);
  [[noreturn]] void fail(const toml::source_region& where, const std::string& field,
                         const std::string& problem) const;

  const std::string* file_;
  std::string name_;
  const toml::table* table_;
  std::set<std::string> read_fields_;
};

}  // namespace nettleyoke::lab
