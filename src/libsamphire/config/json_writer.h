#ifndef CONFIG_JSON_WRITER_H_
#define CONFIG_JSON_WRITER_H_

#include <concepts>
#include <string>
#include <string_view>

namespace samphire {

// Writes JSON piece by piece, without white space.
class json_writer {
 public:
  void BeginObject() { Open('{'); }
  void EndObject() { text_ += '}'; }
  void BeginArray() { Open('['); }
  void EndArray() { text_ += ']'; }
  void Key(std::string_view name);
  void Value(std::string_view text);
  void Value(double number);
  // A template, so that no pointer passes for a truth.
  template <std::integral T>
  void Value(T number) {
    if constexpr (std::same_as<T, bool>)
      Raw(number ? "true" : "false");
    else
      Raw(std::to_string(number));
  }

  const std::string& text() const { return text_; }

 private:
  void Open(char bracket);
  void Raw(std::string_view text);
  void Separate();

  std::string text_;
};

}  // namespace samphire

#endif  // CONFIG_JSON_WRITER_H_
