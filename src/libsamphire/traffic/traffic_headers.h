#ifndef TRAFFIC_TRAFFIC_HEADERS_H_
#define TRAFFIC_TRAFFIC_HEADERS_H_

#include <string>

namespace samphire {

// What the headers between callers, entries and targets are called where this
// entry runs.
struct traffic_headers {
  // One caller attempt's id, which targets echo.
  std::string request_id;
  // Milliseconds that the sender waits.
  std::string deadline;
  // What a target may have in memory.
  std::string affinity_key;
  // The API key of the caller's team; never forwarded to targets.
  std::string api_key;
  // The name of the caller's team, set on requests to targets.
  std::string team;
  // The id of the target that alone may run the request.
  std::string expected_target;
  // On every answer that a target made by running the request.
  std::string target_stamp;
  // RUNNING,WAITING,SLOTS of the answering target.
  std::string target_load;
  // The target did not run the request and never will.
  std::string not_run;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_HEADERS_H_
