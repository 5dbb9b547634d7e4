/// @file
/// Typed access to single fields of JSON objects, with errors that name the field. The meaning of a field is
/// up to the code that reads it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace nettleyoke::json {

using Value = rapidjson::Value;

/// A message that cannot be read: it is not JSON or does not have the documented form.
struct InvalidMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A field that is missing or has the wrong type or range.
class FieldError : public InvalidMessage {
 public:
  /// The message is "field 'x' " followed by the reason.
  /// @param reason For example "is missing".
  FieldError(std::string field, std::string reason);
  /// @param message Complete message, if the one built from field and reason does not fit.
  FieldError(std::string field, std::string reason, const std::string& message);

  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

// Each function below throws FieldError if the value is not an object, or if the field is missing without a
// default or has another type or range than the function's name says. A field that is null counts as missing.

/// The field, or nullptr if it is missing.
const Value* find(const Value& object, const char* field);
/// The field, of any type.
const Value& require(const Value& object, const char* field);
/// Reports a field with an invalid value.
/// @param requirement What the field must be, for example "at least 64".
/// @throws FieldError always
[[noreturn]] void throw_invalid(const char* field, const char* requirement);

double number(const Value& object, const char* field);
double number_or(const Value& object, const char* field, double default_value);
/// An integer in the range of `int`.
int integer(const Value& object, const char* field);
int integer_or(const Value& object, const char* field, int default_value);
/// An integer from 0 in the range of `int`; 0 if it is missing.
std::size_t index_or_zero(const Value& object, const char* field);
/// True or false; false if it is missing.
bool boolean_or_false(const Value& object, const char* field);
/// A string; the view is valid as long as the object.
std::string_view text(const Value& object, const char* field);
/// An unsigned 64-bit integer.
std::uint64_t unsigned_integer(const Value& object, const char* field);
/// An array with items of any type.
const Value& array(const Value& object, const char* field);

}  // namespace nettleyoke::json
