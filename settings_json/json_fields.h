/// Typed reading of single fields of JSON objects.
///
/// Owns the texts of the errors that name a field. It never gives a field a meaning: that is for its callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace nettleyoke::json {

using Value = rapidjson::Value;

/// A message that can't be read: not JSON, or not of the form that its page describes.
struct BadMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A field that is missing or has the wrong type or range.
class FieldError : public BadMessage {
 public:
  /// @param reason continues "field 'x' ", as in "is missing".
  FieldError(std::string field, std::string reason);
  /// @param message the text for people, where it isn't the usual one.
  FieldError(std::string field, std::string reason, const std::string& message);

  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

// Of the readers below, each throws FieldError where the field isn't what its name says. A field that is null
// counts as missing.

/// The field, or nullptr where it is missing.
const Value* find(const Value& object, const char* field);
/// The field, of any type.
const Value& need(const Value& object, const char* field);
/// Says that a field isn't what was expected of it.
/// @param wanted as in "a whole number from 0".
[[noreturn]] void wrong(const char* field, const char* wanted);

double number(const Value& object, const char* field);
double number_or(const Value& object, const char* field, double otherwise);
/// A whole number in the range of `int`.
int whole(const Value& object, const char* field);
int whole_or(const Value& object, const char* field, int otherwise);
/// A whole number from 0; 0 where it is missing.
std::size_t index_or_zero(const Value& object, const char* field);
/// True or false; false where it is missing.
bool flag(const Value& object, const char* field);
/// A string; the view lives as long as the object.
std::string_view text(const Value& object, const char* field);
/// A whole number from 0, with all 64 bits.
std::uint64_t token(const Value& object, const char* field);
/// An array with items of any type.
const Value& array(const Value& object, const char* field);

}  // namespace nettleyoke::json
