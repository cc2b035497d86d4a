#ifndef TESTS_PLATFORM_ADAPTER_RAW_ANSWER_H_
#define TESTS_PLATFORM_ADAPTER_RAW_ANSWER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "platform_adapter/scripted_target.h"

namespace samphire::platform {

// A response and the headers that tests check.
struct raw_answer {
  int status = 0;
  std::string stamp;
  std::string body;

  bool operator==(const raw_answer&) const = default;
};

// Returns what a target's bytes say to a strict reader (RFC 9112) who asked
// with `id` and closes at the end of the answer; nothing if they leave room for
// doubt. With an empty `id`, answers that echo another one are not skipped.
// Written apart from the code under test.
std::optional<raw_answer> Understand(const scripted_answer& answer,
                                     const std::string& id);

// What a caller of an entry makes of the response on its connection.
struct caller_view {
  // Whether the response ended as its framing says. A caller takes one that did
  // not for a failure.
  bool whole = false;
  raw_answer answer;
  // Status line and headers as they came, with their line ends.
  std::string head;
  // Bytes beyond the response.
  std::size_t excess = 0;

  bool IsSuccess() const {
    return whole && answer.status >= 200 && answer.status < 300;
  }
};

// Sends a request without a body for `path` with `id` to IP:PORT on a new
// connection and reads the response. `version` is that of HTTP, such as "1.1".
caller_view Ask(const std::string& address,
                const std::string& path,
                const std::string& id,
                const std::string& version = "1.1",
                const std::string& method = "GET");

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RAW_ANSWER_H_
