#ifndef TRAFFIC_TRAFFIC_HEADERS_H_
#define TRAFFIC_TRAFFIC_HEADERS_H_

#include <string>

namespace samphire {

// Names of the HTTP headers between callers, entries and targets, as the
// platform on which this entry runs defines them.
struct traffic_headers {
  // Id of one attempt of a caller, which targets echo in the response.
  std::string request_id;
  // Time in milliseconds for which the sender waits for the response.
  std::string deadline;
  // The key of the data that the request uses. Requests with the same key go to
  // the same targets, which may have the data in memory.
  std::string affinity_key;
  // The API key of the caller's team; never forwarded to targets.
  std::string api_key;
  // The name of the caller's team, set on requests to targets.
  std::string team;
  // Id of the only target that may run the request, so that a process which
  // took over the address rejects it.
  std::string expected_target;
  // Set on every response that a target produced by running the request.
  std::string target_stamp;
  // Load of the responding target, as RUNNING,WAITING,SLOTS.
  std::string target_load;
  // Requests per second that the responding target takes from all entries
  // together, as a decimal number; missing if it has no limit.
  std::string target_rate_limit;
  // Set if the responding target shuts down soon.
  std::string target_leaving;
  // Set if the target did not run the request and never will.
  std::string not_run;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_HEADERS_H_
