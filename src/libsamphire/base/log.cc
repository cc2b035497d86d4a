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

#include "base/log_rate_limiter.h"
#include "base/utf8.h"

namespace samphire {

namespace {

// JSON escape of U+FFFD, written for bytes that are not valid UTF-8.
constexpr std::string_view kReplacementCharacter = "\\ufffd";

// State of the log; all but `min_level` is guarded by `lock`.
struct log_settings {
  std::mutex lock;
  std::string instance = "\"\"";
  std::atomic<log_level> min_level = log_level::kInfo;
  log_rate_limiter rate_limiter;
};

log_settings& Settings() {
  static log_settings settings;
  return settings;
}

// Bounds the logged bytes of one text field. A request path or a corrupt stored
// object may be long, but a line must fit into one atomic pipe write; a prefix
// of this length suffices for diagnosis.
constexpr std::size_t kMaxTextBytes = 600;

// Appends the value of a field as JSON.
struct value_writer {
  fmt::memory_buffer& out;

  void operator()(std::string_view text) const {
    fmt::format_to(std::back_inserter(out), "{}",
                   JsonQuote(text.substr(0, kMaxTextBytes)));
  }
  // JSON cannot represent infinity or NaN.
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

// Returns whether a write to `descriptor` would not block. If the reader of the
// pipe stalls, the pipe fills up and a blocking write would delay requests
// indefinitely. A line is at most PIPE_BUF bytes, so whenever the pipe is
// writable it is written whole; otherwise it is dropped.
bool IsWritable(int descriptor) {
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
  if (line.size() > PIPE_BUF || !IsWritable(STDOUT_FILENO) ||
      write(STDOUT_FILENO, line.data(), line.size()) < 0)
    settings.rate_limiter.CountDropped();
}

}  // namespace

void ConfigureLog(std::string_view instance, log_level min_level) {
  auto& settings = Settings();
  std::lock_guard guard(settings.lock);
  settings.instance = JsonQuote(instance);
  settings.min_level = min_level;
}

bool LogEnabled(log_level level) {
  return level >= Settings().min_level.load(std::memory_order_relaxed);
}

void Log(log_level level,
         std::string_view event,
         std::initializer_list<log_field> fields) {
  if (!LogEnabled(level))
    return;
  auto& settings = Settings();
  std::lock_guard guard(settings.lock);
  const auto now = std::chrono::steady_clock::now();
  if (!settings.rate_limiter.TryAcquire(level, now))
    return;
  if (const auto dropped = settings.rate_limiter.TakeDroppedCount();
      dropped > 0) {
    const auto count = static_cast<std::int64_t>(dropped);
    WriteLine(settings, log_level::kWarning, "log-lines-dropped",
              {{"lines", count}});
  }
  WriteLine(settings, level, event, fields);
}

// Invalid UTF-8 from a stored object or a request header would make the whole
// line unreadable for JSON parsers, so each invalid byte is replaced.
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
      const auto length = Utf8SequenceLength(text.substr(at));
      quoted += length == 0 ? kReplacementCharacter : text.substr(at, length);
      at += std::max<std::size_t>(length, 1) - 1;
    }
  }
  return quoted + '"';
}

}  // namespace samphire
