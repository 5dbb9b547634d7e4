/// @file
/// A table of a TOML file, read field by field with limits. It knows nothing of experiments.
#pragma once

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nettleyoke::lab {

/// Each field is taken by name, and reject_unknown_fields() complains of what is left. All readers throw
/// ExperimentError, which names the file, the line and the field. The parsed file outlives this.
class TomlTable {
 public:
  /// @param name how errors call the table; empty for the file as a whole
  TomlTable(const std::string& file, std::string name, const toml::table& table)
      : file_(&file), name_(std::move(name)), table_(&table) {}

  [[noreturn]] void reject(const std::string& field, const std::string& wanted) const;

  /// @param fallback for a field that is missing; without one the field is needed
  double number(const char* field, std::optional<double> fallback, double min, double max);
  int whole(const char* field, std::optional<int> fallback, int min, int max);
  bool flag(const char* field, bool fallback);
  std::string text(const char* field, const std::optional<std::string>& fallback);
  /// A needed word that may stand in a header and a path.
  std::string word(const char* field);
  /// A list of texts; empty where there is none.
  std::vector<std::string> texts(const char* field);
  /// A table within this one; an empty one where there is none.
  TomlTable table(const char* field);
  enum class Presence { kNeeded, kOptional };
  std::vector<TomlTable> tables(const char* field, Presence presence);

  void reject_unknown_fields() const;

 private:
  const toml::node* find(const char* field, Presence presence);
  [[noreturn]] void fail(const toml::source_region& where, const std::string& field,
                         const std::string& wanted) const;

  const std::string* file_;
  std::string name_;
  const toml::table* table_;
  std::set<std::string> read_fields_;
};

}  // namespace nettleyoke::lab
