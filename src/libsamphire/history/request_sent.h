#ifndef HISTORY_REQUEST_SENT_H_
#define HISTORY_REQUEST_SENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// A caller sent a request. Every sending has an id of its own; a repeat shares
// only the key.
struct request_sent {
  static constexpr std::string_view kName = "request-sent";
  history_time time_us = 0;
  std::string id{};
  std::string service{};
  std::string request_class{};
  std::string key{};
  std::string home{};
  std::string entry{};
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
