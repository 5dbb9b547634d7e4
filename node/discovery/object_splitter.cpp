#include "discovery/object_splitter.h"

#include <utility>

namespace nettleyoke::node {

ObjectSplitter::Item ObjectSplitter::next(std::string& object) {
  while (scanned_ < text_.size()) {
    const char character = text_[scanned_++];
    if (is_in_string_) {
      if (static_cast<unsigned char>(character) < ' ') return Item::kMalformed;
      scan_string(character);
      continue;
    }
    if (character == ' ' || character == '\t' || character == '\r') continue;
    if (character == '\n') {
      if (!std::exchange(is_line_empty_, true)) continue;
      // If empty lines were allowed inside an object, a truncated object would absorb all later objects, and
      // no further list would be received.
      if (is_inside_object()) return Item::kMalformed;
      discard_scanned();
      return Item::kEmptyLine;
    }
    is_line_empty_ = false;
    if (!is_inside_object() && !begin_object(character)) return Item::kMalformed;
    scan_bracket(character);
    if (is_inside_object()) continue;
    object = text_.substr(0, scanned_);
    discard_scanned();
    return Item::kObject;
  }
  if (!is_inside_object()) discard_scanned();
  return text_.size() > kMaxObjectBytes ? Item::kMalformed : Item::kNone;
}

// Drops the bytes before the object. Returns false if the character does not start an object.
bool ObjectSplitter::begin_object(char character) {
  if (character != '{') return false;
  --scanned_;
  discard_scanned();
  ++scanned_;
  return true;
}

void ObjectSplitter::scan_string(char character) {
  if (character == '"' && !is_escaped_) is_in_string_ = false;
  is_escaped_ = character == '\\' && !is_escaped_;
}

void ObjectSplitter::scan_bracket(char character) {
  is_in_string_ = character == '"';
  if (character == '{' || character == '[') ++depth_;
  if (character == '}' || character == ']') --depth_;
}

void ObjectSplitter::discard_scanned() {
  text_.erase(0, scanned_);
  scanned_ = 0;
}

}  // namespace nettleyoke::node
