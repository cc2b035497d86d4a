#include "peer/replay_guard.h"

#include <cstdlib>

namespace samphire {

namespace {

// Maximum age of a message, and maximum difference between two clocks. Bounds
// what can be replayed to a process that has just started and has not recorded
// any message yet. Entries whose clocks differ by more cannot communicate;
// operators see it in the counter of dropped messages with this reason.
constexpr microseconds kMaxAge{30'000'000};
// Maximum number of senders for which a window is kept. A window takes about
// half a kilobyte, and this many fit 3 MB; a process receives messages from a
// few hundred others.
constexpr std::size_t kMaxSenders = 4096;

error ReplayError(const char* reason) {
  return MakeError(result_code::kPeerReplayed, reason);
}

}  // namespace

result<void> replay_guard::Accept(const peer_envelope& envelope,
                                  wall_time now) {
  const auto now_us =
      std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
  if (envelope.sent_at_us < now_us - kMaxAge.count() ||
      envelope.sent_at_us > now_us + kMaxAge.count()) {
    return ReplayError("outside-time");
  }
  auto found = senders_.find(envelope.sender);
  if (found == senders_.end()) {
    if (senders_.size() >= kMaxSenders && !EvictStaleSenders(now))
      return ReplayError("too-many-senders");
    found = senders_.emplace(envelope.sender, sender_state{}).first;
    found->second.incarnation = envelope.incarnation;
  }
  auto& sender = found->second;
  // A replaced process must not act for its instance any more: its loans and
  // announcements have been taken over by its successor.
  if (envelope.incarnation < sender.incarnation)
    return ReplayError("old-incarnation");
  if (envelope.incarnation > sender.incarnation) {
    sender.incarnation = envelope.incarnation;
    sender.window = replay_window{};
  }
  if (!sender.window.Accept(envelope.sequence))
    return ReplayError("seen-before");
  sender.last_accepted_at = now;
  return Success();
}

// Evicts the senders from which no message was accepted for longer than a
// message remains acceptable, including the time by which its date may be in
// the future: any earlier message of theirs is refused because of its age.
bool replay_guard::EvictStaleSenders(wall_time now) {
  return std::erase_if(senders_, [now](const auto& sender) {
           return sender.second.last_accepted_at + 2 * kMaxAge < now;
         }) > 0;
}

}  // namespace samphire
