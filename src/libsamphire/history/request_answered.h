#ifndef HISTORY_REQUEST_ANSWERED_H_
#define HISTORY_REQUEST_ANSWERED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/answer_body.h"
#include "history/history_time.h"
#include "history/run_claim.h"

namespace samphire {

// Event: an attempt of a request ended at its caller, with or without a
// response. `time_us` is the time of the end.
struct request_answered {
  static constexpr std::string_view kName = "request-answered";
  history_time time_us = 0;
  // Id of the attempt, as in request_sent.
  std::string id{};
  // HTTP status; 0 without a response.
  std::int64_t status = 0;
  // Number of the result code; -1 if the response has no header for it.
  std::int64_t result = -1;
  // What the response says about whether the request ran.
  run_claim claim = run_claim::kNone;
  // Version of the configuration in force at the entry, and seconds until a
  // retry makes sense (Retry-After); -1 without the header.
  std::int64_t config_version = -1;
  std::int64_t retry_after_s = -1;
  answer_body body = answer_body::kLost;
  // What the answer says about itself: the request id that it is for, the run
  // that produced it, when its reading was taken, and its age in seconds (Age
  // header, -1 without it).
  std::string echo_id{};
  std::int64_t target_run = 0;
  history_time measured_us = 0;
  std::int64_t age_s = -1;
  // Whether the connection had been used for an earlier request.
  bool reused = false;
  // From the send to the end, in microseconds.
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
