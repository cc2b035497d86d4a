#ifndef TRAFFIC_PLACING_PEER_QUERY_H_
#define TRAFFIC_PLACING_PEER_QUERY_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "base/backoff_list.h"
#include "base/bounded_codec.h"
#include "base/clock_source.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"
#include "peer/response_waiter.h"

namespace samphire {

// Sends requests of one kind to peers and waits for the responses. `Request`
// and `Response` have a member `id`. `Context` describes a request, so that a
// response that arrives after the timeout can still be handled. Thread-safe.
template <typename Request, typename Response, typename Context>
class peer_query {
 public:
  // Request ids count up from `first_id`. Timeouts are counted under the metric
  // `unanswered`.
  peer_query(peer_transport& transport,
             const clock_source& clock,
             metrics& counters,
             message_kind kind,
             std::string unanswered,
             std::uint64_t first_id)
      : transport_(transport),
        clock_(clock),
        metrics_(counters),
        kind_(kind),
        unanswered_(std::move(unanswered)),
        next_id_(first_id) {}

  // Blocks until the peer responds or `timeout` has passed. Returns nothing on
  // a timeout, and immediately if the peer timed out within the last second.
  // Sets `request.id`.
  std::optional<Response> Send(const std::string& address,
                               Request request,
                               Context context,
                               milliseconds timeout) {
    if (unresponsive_.IsBackingOff(address, clock_.now()))
      return std::nullopt;
    request.id = next_id_++;
    pending_.Register(request.id, std::move(context));
    const auto sent = transport_.Send(address, kind_, EncodeBinary(request));
    auto response =
        pending_.Await(request.id, sent ? timeout : milliseconds{0});
    if (!response) {
      metrics_.Count(unanswered_);
      unresponsive_.StartBackoff(address, clock_.now() + kUnresponsivePause);
    }
    return response;
  }

  // Hands over a response, usually from the transport's receiving thread.
  // Returns the context of its request if the wait for it has timed out.
  std::optional<Context> Deliver(const Response& response) {
    return pending_.Deliver(response.id, response);
  }

 private:
  // Time for which a peer that did not respond is not queried again. It is
  // stalled, stopped or unreachable. Every request that waits for it loses
  // time, and one request a second is enough to notice its return.
  static constexpr milliseconds kUnresponsivePause{1000};

  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  const message_kind kind_;
  const std::string unanswered_;
  std::atomic<std::uint64_t> next_id_;
  backoff_list unresponsive_;
  response_waiter<Response, Context> pending_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_PEER_QUERY_H_
