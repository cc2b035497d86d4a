#ifndef GATEWAY_QUARANTINE_NEWS_H_
#define GATEWAY_QUARANTINE_NEWS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "decision/crash_notice.h"
#include "decision/quarantined_request.h"

namespace samphire {

// Upper bounds on the parts of one message, which fits into one datagram.
inline constexpr std::size_t kMaxNewsLosses = 1;
inline constexpr std::size_t kMaxNewsRequests = 32;

// kQuarantine: what the sender, or the entry that it relays for, has learned
// about requests that crash targets. Not acknowledged: what is in quarantine is
// told again from time to time.
struct quarantine_news {
  std::vector<crash_notice> losses;
  std::vector<quarantined_request> quarantined;
  // Requests that turned out to be harmless.
  std::vector<request_fingerprint> released;
  // 1 if the receiver is to pass the news on to the other entries of its
  // region, else 0.
  std::uint8_t relay = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxNewsLosses>(losses),
            Bounded<kMaxNewsRequests>(quarantined),
            Bounded<kMaxNewsRequests>(released), relay);
  }
};

}  // namespace samphire

#endif  // GATEWAY_QUARANTINE_NEWS_H_
