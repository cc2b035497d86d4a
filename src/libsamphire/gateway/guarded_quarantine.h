#ifndef GATEWAY_GUARDED_QUARANTINE_H_
#define GATEWAY_GUARDED_QUARANTINE_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/crash_quarantine.h"

namespace samphire {

// The quarantine of one entry, shared by its threads.
class guarded_quarantine {
 public:
  using notice_sink = std::function<void(const crash_notice&)>;

  guarded_quarantine(const clock_source& clock, notice_sink sink);

  quarantine_decision Judge(request_fingerprint fingerprint);
  std::vector<std::string> LostWith(request_fingerprint fingerprint);
  void Started(request_fingerprint fingerprint, const std::string& target);
  void Finished(request_fingerprint fingerprint,
                const std::string& target,
                attempt_outcome outcome);
  void OnNotice(const crash_notice& notice);

  std::size_t quarantined() const;
  std::uint64_t targets_lost() const;

 private:
  const clock_source& clock_;
  const notice_sink sink_;
  mutable std::mutex lock_;
  crash_quarantine quarantine_;
};

}  // namespace samphire

#endif  // GATEWAY_GUARDED_QUARANTINE_H_
