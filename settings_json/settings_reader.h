/// Reads the settings, which the simulator's wire and a real node's configuration hold in the same form.
///
/// This is the one place where the words of the pages ("aim", "giveUp", "effect", "realms" …) become the
/// terms of the code. The words are part of the wire and keep their spelling; nothing behind this reader
/// knows them.
#pragma once

#include "json_fields.h"
#include "nettleyoke/settings.h"

namespace nettleyoke::json {

/// Reads the settings without checking their ranges, which is `validate`'s task.
/// @throws FieldError for a field that is missing or of the wrong type.
/// @throws std::invalid_argument for a word that isn't known, as the library does for a value out of range.
[[nodiscard]] Settings read_settings(const Value& object);

}  // namespace nettleyoke::json
