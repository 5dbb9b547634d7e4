#include "json_fields.h"

#include <utility>

namespace nettleyoke::json {

FieldError::FieldError(std::string field, std::string reason, const std::string& message)
    : InvalidMessage(message), field_(std::move(field)), reason_(std::move(reason)) {}

FieldError::FieldError(std::string field, std::string reason)
    : InvalidMessage("field '" + field + "' " + reason),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

const Value* find(const Value& object, const char* field) {
  if (!object.IsObject()) {
    throw FieldError(field, "must be in an object",
                     std::string("value that must hold field '") + field + "' is not an object");
  }
  const auto member = object.FindMember(field);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

const Value& require(const Value& object, const char* field) {
  const Value* value = find(object, field);
  if (value == nullptr) throw FieldError(field, "is missing");
  return *value;
}

[[noreturn]] void throw_invalid(const char* field, const char* requirement) {
  throw FieldError(field, std::string("must be ") + requirement);
}

double number(const Value& object, const char* field) {
  const Value& value = require(object, field);
  if (!value.IsNumber()) throw_invalid(field, "a number");
  return value.GetDouble();
}

double number_or(const Value& object, const char* field, double default_value) {
  return find(object, field) == nullptr ? default_value : number(object, field);
}

int integer(const Value& object, const char* field) {
  const Value& value = require(object, field);
  if (!value.IsInt()) throw_invalid(field, "an integer from -2147483648 to 2147483647");
  return value.GetInt();
}

int integer_or(const Value& object, const char* field, int default_value) {
  return find(object, field) == nullptr ? default_value : integer(object, field);
}

std::size_t index_or_zero(const Value& object, const char* field) {
  const int value = integer_or(object, field, 0);
  if (value < 0) throw_invalid(field, "an integer from 0 to 2147483647");
  return static_cast<std::size_t>(value);
}

bool boolean_or_false(const Value& object, const char* field) {
  const Value* value = find(object, field);
  if (value == nullptr) return false;
  if (!value->IsBool()) throw_invalid(field, "true or false");
  return value->GetBool();
}

std::string_view text(const Value& object, const char* field) {
  const Value& value = require(object, field);
  if (!value.IsString()) throw_invalid(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

std::uint64_t unsigned_integer(const Value& object, const char* field) {
  const Value& value = require(object, field);
  if (!value.IsUint64()) throw_invalid(field, "an integer from 0 to 18446744073709551615");
  return value.GetUint64();
}

const Value& array(const Value& object, const char* field) {
  const Value& value = require(object, field);
  if (!value.IsArray()) throw_invalid(field, "an array");
  return value;
}

}  // namespace nettleyoke::json
