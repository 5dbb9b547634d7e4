/// Cuts the byte stream of a watch into JSON objects.
///
/// Objects come split over reads, joined and indented as discovery pleases, with empty lines between them and
/// none within. Nothing is parsed here beyond strings and brackets.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace nettleyoke::node {

class ObjectSplitter {
 public:
  /// What the bytes so far end with.
  enum class Item {
    kNone,       ///< nothing more that is complete
    kEmptyLine,  ///< a sign of life
    kObject,
    kMalformed,  ///< the stream can't be followed any more
  };

  /// The most bytes that one object may take.
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} * 1024 * 1024;

  void append(std::string_view bytes) { text_ += bytes; }

  /// Whether an object has begun and not ended.
  [[nodiscard]] bool is_inside_object() const { return depth_ > 0; }

  /// Takes the next item off the stream.
  /// @param object set to the object's text for kObject, else left as it is.
  [[nodiscard]] Item next(std::string& object);

 private:
  [[nodiscard]] bool begin_object(char character);
  void scan_string(char character);
  void scan_bracket(char character);
  void discard_scanned();

  std::string text_;  // from where the object begins
  std::size_t scanned_ = 0;
  std::size_t depth_ = 0;
  bool is_in_string_ = false;
  bool is_escaped_ = false;
  bool line_is_empty_ = true;
};

}  // namespace nettleyoke::node
