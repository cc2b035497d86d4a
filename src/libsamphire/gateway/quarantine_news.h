#ifndef GATEWAY_QUARANTINE_NEWS_H_
#define GATEWAY_QUARANTINE_NEWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/enum_names.h"
#include "decision/crash_notice.h"
#include "decision/paused_request.h"
#include "decision/quarantined_request.h"

namespace samphire {

// Upper bounds on the parts of one message, which fits into one datagram.
inline constexpr std::size_t kMaxNewsLosses = 1;
inline constexpr std::size_t kMaxNewsRequests = 32;

// What the receiver of news does besides applying them.
enum class quarantine_news_purpose : std::uint8_t {
  kTell,
  // The sender has started and asks for what the receiver knows.
  kAsk,
  // Part of what an entry was asked for.
  kAnswer,
};

// kQuarantine: what the sender, or the entry that it relays for, has learned
// about requests that crash targets. Not acknowledged: what is in quarantine is
// told again from time to time.
struct quarantine_news {
  std::vector<crash_notice> losses;
  std::vector<quarantined_request> quarantined;
  // Suspects that the sender refuses until the next trial.
  std::vector<paused_request> paused;
  // Requests that turned out to be harmless.
  std::vector<request_fingerprint> released;
  // A target that has responded after its loss, and so did not crash; empty if
  // there is none.
  std::string alive;
  quarantine_news_purpose purpose = quarantine_news_purpose::kTell;
  // 1 if the receiver is to pass the news on to the other entries of its
  // region, else 0.
  std::uint8_t relay = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(
        Bounded<kMaxNewsLosses>(losses), Bounded<kMaxNewsRequests>(quarantined),
        Bounded<kMaxNewsRequests>(paused), Bounded<kMaxNewsRequests>(released),
        Bounded<kMaxCrashedTargetBytes>(alive));
    SerializeEnum<quarantine_news_purpose::kAnswer>(archive, purpose);
    archive(relay);
  }
};

}  // namespace samphire

#endif  // GATEWAY_QUARANTINE_NEWS_H_
