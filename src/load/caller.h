#ifndef LOAD_CALLER_H_
#define LOAD_CALLER_H_

#include <Poco/Net/HTTPRequest.h>

#include <atomic>
#include <string>

#include "experiment/arrival.h"
#include "experiment/request_outcome.h"
#include "experiment/scenario.h"
#include "history/history_writer.h"
#include "keep_alive_pool.h"
#include "lookup_cache.h"

namespace samphire {

// Sends requests on behalf of the callers of a scenario, including retries and
// deliberately abandoned attempts, and records each attempt in the history.
// Thread-safe: the sender threads of a run share one instance. The scenario,
// pool, cache and history writer must outlive it.
class caller {
 public:
  // `direct` is the IP:PORT of a target to which all requests are sent,
  // bypassing the entries; if it is "", requests go to the entries returned by
  // look-ups.
  caller(const scenario& plan,
         std::string direct,
         keep_alive_pool& pool,
         lookup_cache& lookups,
         history_writer& history);

  // Blocks until the request has a final outcome. Its intended send time is
  // `start` plus the arrival's offset; deadline and latency count from there.
  // Network errors are reported in the outcome, not thrown.
  request_outcome SendWithRetries(const arrival& arrival, time_point start);

 private:
  // One attempt to send a request.
  struct request_attempt {
    std::string id;
    // Idempotency key, the same for all attempts; "" if the stream has none.
    std::string key;
    // IP:PORT; "" if no entry is known.
    std::string destination;
    // Time until the deadline, sent along with the request.
    duration remaining{0};
    // How long the caller waits to connect, and for each read, before it
    // abandons the attempt.
    duration response_timeout{0};
  };

  // Rotates through the known entries, so that a retry goes to the next one.
  // Returns "" if no entry is known.
  std::string SelectDestination(const request_stream& stream,
                                const std::string& source,
                                std::uint32_t attempt);
  Poco::Net::HTTPRequest MakeRequest(
      const request_stream& stream,
      const arrival& arrival,
      const request_attempt& request_attempt) const;
  request_answered Send(const request_stream& stream,
                        const arrival& arrival,
                        const request_attempt& request_attempt);

  const scenario& plan_;
  const std::string direct_;
  keep_alive_pool& pool_;
  lookup_cache& lookups_;
  history_writer& history_;
  // Prefix of request ids and idempotency keys. Distinguishes several runs
  // that append to one history.
  const std::string run_tag_;
};

}  // namespace samphire

#endif  // LOAD_CALLER_H_
