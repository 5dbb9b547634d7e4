/// @file
/// Splits the byte stream of a watch into JSON objects.
///
/// Objects may be split over several reads, follow each other without a separator, and be indented. Empty
/// lines are allowed between objects but not inside them. The splitter recognizes only strings, brackets and
/// line ends; it does not check that an object is valid JSON.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace nettleyoke::node {

class ObjectSplitter {
 public:
  /// The kinds of items in the stream.
  enum class Item {
    kNone,       ///< no further complete item
    kEmptyLine,  ///< sent to show that the connection works
    kObject,
    kMalformed,  ///< the rest of the stream can't be split
  };

  /// The maximum size of an object.
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} * 1024 * 1024;

  void append(std::string_view bytes) { text_ += bytes; }

  /// Whether the first bytes of an object have arrived but not its last.
  [[nodiscard]] bool is_inside_object() const { return depth_ > 0; }

  /// Removes the next item from the stream.
  /// @param object set to the object's text for kObject, otherwise unchanged
  [[nodiscard]] Item next(std::string& object);

 private:
  [[nodiscard]] bool begin_object(char character);
  void scan_string(char character);
  void scan_bracket(char character);
  void discard_scanned();

  std::string text_;  // the bytes not yet returned as an item
  std::size_t scanned_ = 0;
  std::size_t depth_ = 0;
  bool is_in_string_ = false;
  bool is_escaped_ = false;
  bool is_line_empty_ = true;
};

}  // namespace nettleyoke::node
