#ifndef TESTS_SOAK_REQUEST_RECORD_H_
#define TESTS_SOAK_REQUEST_RECORD_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "platform_adapter/wire_target.h"
#include "soak/arrival_check.h"
#include "soak/soak_finding.h"

namespace samphire {

// A request whose connection was closed without a complete response.
struct broken_request {
  std::string id;
  // Whether SIGTERM was sent to its entry before or during the request.
  bool stopping = false;
  // Address of the entry, and duration of the request.
  std::string entry;
  std::chrono::milliseconds elapsed{0};
};

// The status that a caller received for a request that may run at most once;
// 0 without a response.
struct ended_claim {
  std::string id;
  int status = 0;
};

// The requests that callers sent and what became of them, to be compared with
// what targets ran once all have ended. Thread-safe until then.
class request_record {
 public:
  using target_list = std::vector<const platform::wire_target*>;

  void OnSent(const std::string& service,
              const std::string& id,
              time_point time);
  void OnBroken(broken_request request);
  void OnClaimEnded(ended_claim claim);

  // Claims that ran twice, or whose caller was not told the truth.
  std::vector<soak_finding> OnceAtMostViolations(
      const target_list& targets) const;
  // Requests that an entry has read, as `log_lines` of all entries tell, and
  // that got no complete response.
  std::vector<soak_finding> UnansweredRequests(
      const std::vector<std::string>& log_lines) const;
  // Describes repeats beyond `bound` at the targets of a service.
  std::optional<std::string> ExcessOfRepeats(const std::string& service,
                                             const target_list& targets,
                                             const retry_bound& bound) const;

 private:
  mutable std::mutex lock_;
  // Times at which requests were sent, by service and request ID.
  std::map<std::string, std::map<std::string, time_point>> sent_;
  std::vector<ended_claim> claims_;
  std::vector<broken_request> broken_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_REQUEST_RECORD_H_
