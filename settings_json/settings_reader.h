/// @file
/// Reads the settings from JSON. The simulator's wire protocol and a node's configuration file share this
/// form.
///
/// Only this reader maps the external field names ("aim", "giveUp", "effect", "realms" ...) to the names in
/// nettleyoke::Settings. The external names are part of the wire protocol and must not change.
#pragma once

#include "json_fields.h"
#include "nettleyoke/settings.h"

namespace nettleyoke::json {

/// Reads the settings. Does not check their ranges; nettleyoke::validate() does.
/// @throws FieldError if a field is missing or has the wrong type.
/// @throws std::invalid_argument if a field has none of its named values, as validate() does for a value out
/// of range.
[[nodiscard]] Settings read_settings(const Value& object);

}  // namespace nettleyoke::json
