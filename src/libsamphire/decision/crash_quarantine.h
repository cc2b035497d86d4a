#ifndef DECISION_CRASH_QUARANTINE_H_
#define DECISION_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock_source.h"
#include "decision/aging_map.h"
#include "decision/attempt_outcome.h"
#include "decision/crash_notice.h"
#include "decision/crash_verdict.h"
#include "decision/request_fingerprint.h"

namespace samphire {

// Recognises a request that crashes each target which runs it, and tells it
// from those that merely shared a target with it. Not thread-safe.
class crash_quarantine {
 public:
  crash_quarantine();

  crash_verdict Judge(request_fingerprint fingerprint, time_point now);

  // The targets that were lost while a suspect ran there.
  std::vector<std::string> LostWith(request_fingerprint fingerprint,
                                    time_point now);

  // An attempt has been sent to the target.
  void Started(request_fingerprint fingerprint, const std::string& target);
  // It has ended. A notice is for the region's other entries.
  std::optional<crash_notice> Finished(request_fingerprint fingerprint,
                                       const std::string& target,
                                       attempt_outcome outcome,
                                       time_point now);
  void OnNotice(const crash_notice& notice, time_point now);

  std::size_t suspects() const { return suspects_.size(); }
  std::size_t quarantined() const { return convicts_.size(); }
  // Target losses seen, each counted once however many requests it took.
  std::uint64_t targets_lost() const { return targets_lost_; }

 private:
  // One loss of a target while the suspect ran there.
  struct mark {
    std::string target;
    // Nothing else is known to have run there.
    bool alone = false;
  };
  struct suspect {
    std::vector<mark> marks;
  };
  struct loss {
    request_fingerprint first_suspect = 0;
    bool shared = false;
    // Attempts of this entry that ran there when the loss was learned, and
    // whose end is still to be told.
    std::uint32_t exposed = 0;
  };
  struct nothing {};

  // Whether an attempt that was lost there only began after the target was.
  bool CameAfterLoss(const std::string& target, time_point now);
  // Notes the loss and tells whether the request was alone in it.
  bool NoteLoss(const std::string& target,
                request_fingerprint fingerprint,
                bool shared,
                time_point now);
  void Mark(request_fingerprint fingerprint,
            const std::string& target,
            bool alone,
            time_point now);
  bool IsConvictedBy(const std::vector<mark>& marks, bool answered) const;
  void Acquit(request_fingerprint fingerprint, time_point now);

  aging_map<request_fingerprint, suspect> suspects_;
  aging_map<request_fingerprint, nothing> convicts_;
  // Requests that had a whole answer lately.
  aging_map<request_fingerprint, nothing> answered_;
  aging_map<std::string, loss> losses_;
  // How many attempts of this entry run on each target, and of each request.
  std::unordered_map<std::string, std::uint32_t> running_on_;
  std::unordered_map<request_fingerprint, std::uint32_t> running_;
  std::uint64_t targets_lost_ = 0;
};

}  // namespace samphire

#endif  // DECISION_CRASH_QUARANTINE_H_
