#include "config/json_writer.h"

#include <fmt/format.h>

#include "base/log.h"

namespace samphire {

// POCO has a tree of values, which takes 4.5 KB of memory for each client
// block, and a PrintHandler that writes as it goes, but true as 1 and
// 0.30000000000000004 as 0.3: a shift cap would change by being stored.
void json_writer::Key(std::string_view name) {
  Raw(JsonQuote(name));
  text_ += ':';
}

void json_writer::Value(std::string_view text) {
  Raw(JsonQuote(text));
}

// The shortest text that reads back as the same number.
void json_writer::Value(double number) {
  Raw(fmt::format("{}", number));
}

void json_writer::Open(char bracket) {
  Separate();
  text_ += bracket;
}

void json_writer::Raw(std::string_view text) {
  Separate();
  text_ += text;
}

void json_writer::Separate() {
  constexpr std::string_view kNoCommaBehind = "{[:";
  if (!text_.empty() &&
      kNoCommaBehind.find(text_.back()) == std::string_view::npos)
    text_ += ',';
}

}  // namespace samphire
