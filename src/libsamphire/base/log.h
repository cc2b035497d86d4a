#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/log_level.h"

namespace samphire {

// A named value of a log line. Refers to the name and to a text value, which
// must outlive the call of Log().
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;

  log_field(std::string_view n, std::string_view v) : name(n), value(v) {}
  log_field(std::string_view n, const std::string& v)
      : name(n), value(std::string_view(v)) {}
  log_field(std::string_view n, const char* v)
      : name(n), value(std::string_view(v)) {}
  log_field(std::string_view n, bool v) : name(n), value(v) {}
  log_field(std::string_view n, double v) : name(n), value(v) {}
  template <typename I>
  requires std::is_integral_v<I> log_field(std::string_view n, I v)
      : name(n), value(static_cast<std::int64_t>(v)) {}
};

// Sets the instance name written on every line of this process and the lowest
// level that is written. Thread-safe, as are all functions here.
void ConfigureLog(std::string_view instance, log_level min_level);
// Returns whether lines of this level are written at all; takes no lock.
bool LogEnabled(log_level level);

// Writes one JSON line to standard output: time (UTC), level, instance, event,
// then the fields. Lines of concurrent threads do not interleave. Does not
// block on output: a line that exceeds the rate limit, that is longer than
// PIPE_BUF, or for which the output has no space is dropped and counted.
void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields = {});

// Returns `text` as a quoted JSON string. Escapes control characters and
// replaces each byte that is not valid UTF-8 by U+FFFD.
std::string JsonQuote(std::string_view text);

}  // namespace samphire

#endif  // BASE_LOG_H_
