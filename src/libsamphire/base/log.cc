#include "base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <cmath>
#include <mutex>
#include <utility>

#include "base/line_budget.h"
#include "base/utf8.h"

namespace samphire {

namespace {

constexpr std::string_view kUnreadable = "\\ufffd";

struct log_settings {
  std::mutex lock;
  std::string instance = "\"\"";
  std::atomic<log_level> lowest = log_level::kInfo;
  line_budget budget;
};

log_settings& Settings() {
  static log_settings settings;
  return settings;
}

// A caller's path or a broken entry may be long; a line must fit the pipe in
// one piece, and this much shows what is wrong.
constexpr std::size_t kMaxText = 600;

struct value_writer {
  fmt::memory_buffer& out;

  void operator()(std::string_view text) const {
    fmt::format_to(std::back_inserter(out), "{}",
                   JsonQuote(text.substr(0, kMaxText)));
  }
  // JSON has no name for what is no number.
  void operator()(double number) const {
    if (std::isfinite(number))
      fmt::format_to(std::back_inserter(out), "{}", number);
    else
      fmt::format_to(std::back_inserter(out), "null");
  }
  template <typename T>
  void operator()(T number) const {
    fmt::format_to(std::back_inserter(out), "{}", number);
  }
};

// A reader that stops reading fills the pipe; a write to it would then hold up
// requests for as long as it likes. A line is short enough to be written whole
// where there is room at all, so it is written or dropped.
bool HasRoom(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

void WriteLine(log_settings& settings,
               log_level level,
               std::string_view event,
               std::initializer_list<log_field> fields) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  fmt::memory_buffer line;
  fmt::format_to(
      std::back_inserter(line),
      R"({{"time":"{:%FT%T}.{:03}Z","level":"{}","instance":{},"event":{})",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
      now.time_since_epoch().count() % 1000, NameOf(kLogLevelNames, level),
      settings.instance, JsonQuote(event));
  for (const auto& field : fields) {
    fmt::format_to(std::back_inserter(line), ",{}:", JsonQuote(field.name));
    std::visit(value_writer{line}, field.value);
  }
  line.push_back('}');
  line.push_back('\n');
  if (line.size() > PIPE_BUF || !HasRoom(STDOUT_FILENO) ||
      write(STDOUT_FILENO, line.data(), line.size()) < 0)
    settings.budget.CountDropped();
}

}  // namespace

void ConfigureLog(std::string_view instance, log_level lowest) {
  auto& settings = Settings();
  std::lock_guard guard(settings.lock);
  settings.instance = JsonQuote(instance);
  settings.lowest = lowest;
}

bool LogEnabled(log_level level) {
  return level >= Settings().lowest.load(std::memory_order_relaxed);
}

void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields) {
  if (!LogEnabled(level))
    return;
  auto& settings = Settings();
  std::lock_guard guard(settings.lock);
  const auto now = std::chrono::steady_clock::now();
  if (!settings.budget.Take(level, now))
    return;
  if (const auto dropped = settings.budget.TakeDropped(); dropped > 0) {
    const auto count = static_cast<std::int64_t>(dropped);
    WriteLine(settings, log_level::kWarning, "log-lines-dropped",
              {{"lines", count}});
  }
  WriteLine(settings, level, event, fields);
}

// Bytes of an entry or a header that are no UTF-8 would make the whole line
// unreadable to those who parse it.
std::string JsonQuote(std::string_view text) {
  std::string quoted = "\"";
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      quoted += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
    } else if (static_cast<unsigned char>(c) < 0x80) {
      quoted += c;
    } else {
      const auto length = Utf8Length(text.substr(at));
      quoted += length == 0 ? kUnreadable : text.substr(at, length);
      at += std::max<std::size_t>(length, 1) - 1;
    }
  }
  return quoted + '"';
}

}  // namespace samphire
