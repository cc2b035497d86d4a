#include "config/json_writer.h"

#include <fmt/format.h>

#include "base/log.h"

namespace samphire {

// POCO's classes are not used for writing. Its tree of values takes 4.5 KB of
// memory per client block. Its PrintHandler writes incrementally, but writes
// true as 1 and 0.30000000000000004 as 0.3, so a shift cap would change when
// stored.
void json_writer::Key(std::string_view name) {
  Append(JsonQuote(name));
  text_ += ':';
}

void json_writer::Value(std::string_view text) {
  Append(JsonQuote(text));
}

// Writes the shortest text that parses to the same number.
void json_writer::Value(double number) {
  Append(fmt::format("{}", number));
}

void json_writer::Open(char bracket) {
  AppendSeparator();
  text_ += bracket;
}

void json_writer::Append(std::string_view text) {
  AppendSeparator();
  text_ += text;
}

// Appends a comma unless a container or a key precedes.
void json_writer::AppendSeparator() {
  constexpr std::string_view kNoCommaAfter = "{[:";
  if (!text_.empty() &&
      kNoCommaAfter.find(text_.back()) == std::string_view::npos)
    text_ += ',';
}

}  // namespace samphire
