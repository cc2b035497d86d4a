#ifndef CONFIG_JSON_WRITER_H_
#define CONFIG_JSON_WRITER_H_

#include <concepts>
#include <string>
#include <string_view>

namespace samphire {

// Writes JSON text incrementally, without white space. The caller must nest
// objects, arrays and keys correctly; this is not checked. Not thread-safe.
class json_writer {
 public:
  void BeginObject() { Open('{'); }
  void EndObject() { text_ += '}'; }
  void BeginArray() { Open('['); }
  void EndArray() { text_ += ']'; }
  void Key(std::string_view name);
  void Value(std::string_view text);
  void Value(double number);
  // A template, so that a pointer is not converted to bool implicitly.
  template <std::integral T>
  void Value(T number) {
    if constexpr (std::same_as<T, bool>)
      Append(number ? "true" : "false");
    else
      Append(std::to_string(number));
  }

  // The text written so far.
  const std::string& text() const { return text_; }

 private:
  void Open(char bracket);
  void Append(std::string_view text);
  void AppendSeparator();

  std::string text_;
};

}  // namespace samphire

#endif  // CONFIG_JSON_WRITER_H_
