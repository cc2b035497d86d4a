#include "peer/replay_guard.h"

#include <cstdlib>

namespace samphire {

namespace {

// How old a message may be, and by how much two clocks may differ. It bounds
// what can be replayed to a process that has just started and remembers
// nothing. A fleet whose clocks differ by more falls apart, which operators
// see by the counter of this reason.
constexpr microseconds kMaxAge{30'000'000};
// A window takes about half a kilobyte; this many fit 3 MB, and a process
// hears of a few hundred others.
constexpr std::size_t kMaxSenders = 4096;

error Replayed(const char* why) {
  return MakeError(result_code::kPeerReplayed, why);
}

}  // namespace

result<void> replay_guard::Accept(const peer_envelope& envelope,
                                  wall_time now) {
  const auto now_count =
      std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
  if (envelope.sent_at < now_count - kMaxAge.count() ||
      envelope.sent_at > now_count + kMaxAge.count()) {
    return Replayed("outside-time");
  }
  auto found = senders_.find(envelope.sender);
  if (found == senders_.end()) {
    if (senders_.size() >= kMaxSenders && !MakeRoom(now))
      return Replayed("too-many-senders");
    found = senders_.emplace(envelope.sender, sender_state{}).first;
    found->second.incarnation = envelope.incarnation;
  }
  auto& sender = found->second;
  // A process that was replaced may not speak for its instance any more: what
  // it lent or announced has been taken over.
  if (envelope.incarnation < sender.incarnation)
    return Replayed("old-incarnation");
  if (envelope.incarnation > sender.incarnation) {
    sender.incarnation = envelope.incarnation;
    sender.window = replay_window{};
  }
  if (!sender.window.Accept(envelope.sequence))
    return Replayed("seen-before");
  sender.heard_at = now;
  return Success();
}

// A sender that was silent for longer than a message may be old can be
// forgotten: whatever it sent is refused by its age.
bool replay_guard::MakeRoom(wall_time now) {
  return std::erase_if(senders_, [now](const auto& sender) {
           return sender.second.heard_at + 2 * kMaxAge < now;
         }) > 0;
}

}  // namespace samphire
