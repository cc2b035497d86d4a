#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/log_level.h"

namespace samphire {

// One named value of a log line.
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

// Sets what every line of this process carries and the lowest level written.
void ConfigureLog(std::string_view instance, log_level lowest);
bool LogEnabled(log_level level);

// Writes one JSON line to standard output: time, level, instance, event, then
// the fields. Lines of several threads never mix. Never waits: a line that
// there is no room or budget for is dropped and counted.
void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields = {});

// `text` as a JSON string with its quotes.
std::string JsonQuote(std::string_view text);

}  // namespace samphire

#endif  // BASE_LOG_H_
