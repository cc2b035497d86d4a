#include "traffic/sending/send_log.h"

#include <fmt/format.h>

#include "base/log.h"

namespace samphire {

namespace {

// A direct send that was answered is told by the line of its request, and
// nearly all sends are such.
bool IsToldByRequest(const send_record& send, const target_exchange_end& end) {
  return send.way == send_way::kDirect &&
         end.attempt.result == attempt_result::kAnswered;
}

}  // namespace

void LogSend(const traffic_context& context,
             const traffic_request& request,
             const live_target& target,
             const send_record& send,
             const target_exchange_end& end) {
  const auto way = NameOf(kSendWayNames, send.way);
  const auto result = NameOf(kAttemptResultNames, end.attempt.result);
  context.counters.Count("sends_total",
                         fmt::format("way=\"{}\",result=\"{}\"", way, result));
  context.counters.Count("sent_body_bytes_total",
                         fmt::format("way=\"{}\"", way),
                         static_cast<std::int64_t>(send.body_sent));
  Log(IsToldByRequest(send, end) ? log_level::kDebug : log_level::kInfo, "send",
      {{"request", request.id},
       {"target", target.id},
       {"way", way},
       {"receiver", send.receiver},
       {"body_sent", send.body_sent},
       {"body_bytes", LoggedBodyBytes(send)},
       {"listing_era", send.listing.era},
       {"listing_revision", send.listing.revision},
       {"evacuations_era", send.evacuations.position.era},
       {"evacuations_revision", send.evacuations.position.revision},
       {"evacuations_age_ms", AgeForLog(send.evacuations)},
       {"result", result}});
}

std::int64_t LoggedBodyBytes(const send_record& send) {
  constexpr std::int64_t kUnknown = -1;
  return send.body_bytes ? static_cast<std::int64_t>(*send.body_bytes)
                         : kUnknown;
}

}  // namespace samphire
