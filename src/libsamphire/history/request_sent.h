#ifndef HISTORY_REQUEST_SENT_H_
#define HISTORY_REQUEST_SENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a caller sent an attempt of a request. Every attempt has an id of its
// own; retries share only the idempotency key.
struct request_sent {
  static constexpr std::string_view kName = "request-sent";
  history_time time_us = 0;
  std::string id{};
  std::string service{};
  std::string request_class{};
  // Idempotency key; empty without one.
  std::string key{};
  // Region of the caller.
  std::string home{};
  // IP:PORT of the entry.
  std::string entry{};
  // Time left until the deadline when the attempt was sent.
  std::int64_t deadline_ms = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("id", self.id);
    field("service", self.service);
    field("class", self.request_class);
    field("key", self.key);
    field("home", self.home);
    field("entry", self.entry);
    field("deadline_ms", self.deadline_ms);
  }
};

}  // namespace samphire

#endif  // HISTORY_REQUEST_SENT_H_
