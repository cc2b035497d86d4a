#ifndef TRAFFIC_PLACING_PLACEMENT_CLIENT_H_
#define TRAFFIC_PLACING_PLACEMENT_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"
#include "routing/attempt_end.h"
#include "routing/placement_criteria.h"
#include "traffic/placing/peer_query.h"
#include "traffic/placing/placement_messages.h"

namespace samphire {

// Requests placements of attempts from the entries that own the keys. A key's
// owner places all requests of its region for the key. Thread-safe; responses
// are handled on the transport's receiving thread.
class placement_client {
 public:
  // Request ids count up from `first_id`.
  placement_client(peer_transport& transport,
                   const clock_source& clock,
                   metrics& counters,
                   std::uint64_t first_id);
  ~placement_client();
  placement_client(const placement_client&) = delete;
  placement_client& operator=(const placement_client&) = delete;

  // Blocks until the owner responds or the timeout expires, which is 1/20 of
  // the request's latency objective, but 10 to 50 ms. Returns nothing on a
  // timeout, and immediately if the owner timed out within the last second;
  // this entry then places the attempt itself. Ignores `request.id`.
  std::optional<remote_placement_response> RequestPlacement(
      const std::string& owner_address,
      remote_placement_request request);
  // Reports to the owner that the attempt under this lease has ended. Does not
  // block; a lost report is made up for by the expiry of the lease.
  void ReportEnd(const std::string& owner_address,
                 const std::string& service,
                 std::uint64_t lease_id,
                 const attempt_end& end);

 private:
  void OnResponse(const peer_message& message);

  peer_transport& transport_;
  metrics& metrics_;
  // The context is the service, which is needed to end the lease granted by a
  // late response.
  peer_query<remote_placement_request, remote_placement_response, std::string>
      query_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_PLACEMENT_CLIENT_H_
