#ifndef HISTORY_REQUEST_ANSWERED_H_
#define HISTORY_REQUEST_ANSWERED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/answer_body.h"
#include "history/history_time.h"
#include "history/run_claim.h"

namespace samphire {

// What the caller got.
struct request_answered {
  static constexpr std::string_view kName = "request-answered";
  history_time time_us = 0;
  std::string id{};
  std::int64_t status = 0;
  // The number of the result code; -1 without a header.
  std::int64_t result = -1;
  run_claim claim = run_claim::kNone;
  std::int64_t config_version = -1;
  std::int64_t retry_after_s = -1;
  answer_body body = answer_body::kLost;
  // What the answer says of itself: whose it is and which run made it.
  std::string echo_id{};
  std::int64_t target_run = 0;
  history_time measured_us = 0;
  std::int64_t age_s = -1;
  // Whether the connection had carried a request before.
  bool reused = false;
  std::int64_t latency_us = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("id", self.id);
    field("status", self.status);
    field("result", self.result);
    field("claim", self.claim);
    field("config_version", self.config_version);
    field("retry_after_s", self.retry_after_s);
    field("body", self.body);
    field("echo_id", self.echo_id);
    field("target_run", self.target_run);
    field("measured_us", self.measured_us);
    field("age_s", self.age_s);
    field("reused", self.reused);
    field("latency_us", self.latency_us);
  }
};

}  // namespace samphire

#endif  // HISTORY_REQUEST_ANSWERED_H_
