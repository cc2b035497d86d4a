#ifndef BASE_JSON_CURSOR_H_
#define BASE_JSON_CURSOR_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphire {

// Reads JSON text front to back without building a tree of it, so that a large
// value costs little where only a part of it matters. Skipped values may be
// nested to any depth, and are
// checked for brackets, commas, colons and complete literals, not for valid
// numbers and escapes. Any malformed text sets failed(), after which every call
// returns false or nothing. Refers to the text, which must outlive it. Not
// thread-safe.
class json_cursor {
 public:
  explicit json_cursor(std::string_view text) : text_(text) {}

  // Enters the object or array that begins here.
  bool EnterObject() { return Enter('{'); }
  bool EnterArray() { return Enter('['); }
  // Returns the name of the next member of the entered object, as written, and
  // stops before its value; nothing at the end of the object, which is left.
  std::optional<std::string_view> NextMember();
  // Returns whether the entered array has another element, and stops before it;
  // leaves the array at its end.
  bool NextElement();
  // Skips the value that begins here and returns its text.
  std::string_view SkipValue();
  // Skips the value that begins here if it is written exactly as `text`, a
  // whole object or array. Reads no further than the first difference.
  bool SkipIfEqual(std::string_view text);
  // Whether only white space is left.
  bool AtEnd();

  bool failed() const { return failed_; }
  // The offset of the next character.
  std::size_t position() const { return position_; }
  // The text from `start` to the current position.
  std::string_view TextFrom(std::size_t start) const {
    return text_.substr(start, position_ - start);
  }
  // Moves to the first character of the value that follows, and returns its
  // offset.
  std::size_t SkipSpace();

 private:
  bool Enter(char bracket);
  // Consumes `c` if it is the next character.
  bool Take(char c);
  // Consumes the comma between two values, or the bracket that ends them.
  // Returns whether another value follows.
  bool ContinuesBefore(char end);
  bool SkipString();
  bool SkipLiteral();
  bool SkipContainer();
  // Skips what comes before the next value within `open`, the brackets that are
  // open, or the bracket that closes the last of them.
  bool SkipToValue(std::string& open);
  bool Fail();

  std::string_view text_;
  std::size_t position_ = 0;
  // Whether a value of the current object or array was read.
  bool after_value_ = false;
  bool failed_ = false;
};

// Returns the value of the object's member `name` as written; nothing if there
// is none or `object` is malformed.
std::optional<std::string_view> FindJsonMember(std::string_view object,
                                               std::string_view name);

}  // namespace samphire

#endif  // BASE_JSON_CURSOR_H_
