#ifndef TRAFFIC_PLACING_CLIENT_H_
#define TRAFFIC_PLACING_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "base/pause_list.h"
#include "metrics/metrics.h"
#include "peer/answer_waiter.h"
#include "peer/peer_transport.h"
#include "routing/attempt_end.h"
#include "routing/placement_criteria.h"
#include "traffic/placing_messages.h"

namespace samphire {

// Asks the owners of keys where attempts are to go. Thread-safe.
class placing_client {
 public:
  placing_client(peer_transport& transport,
                 const clock_source& clock,
                 metrics& counters,
                 std::uint64_t first_id);
  ~placing_client();
  placing_client(const placing_client&) = delete;
  placing_client& operator=(const placing_client&) = delete;

  // Blocks until the owner has answered or the time for it is over: then
  // nothing, and this entry is to decide by itself. Sets `id` and times of
  // `ask`.
  std::optional<placing_answer> Ask(const std::string& owner_address,
                                    placing_ask ask);
  // Tells the owner that the attempt of this lease has ended.
  void End(const std::string& owner_address,
           const std::string& service,
           std::uint64_t lease,
           const attempt_end& end);

 private:
  void OnAnswer(const peer_message& message);

  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  std::atomic<std::uint64_t> next_id_;
  pause_list silent_;
  // The context is the service, which is needed to end the lease granted by a
  // late answer.
  answer_waiter<placing_answer, std::string> questions_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_CLIENT_H_
