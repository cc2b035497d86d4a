#include "peer/replay_window.h"

namespace samphire {

// A bit is valid for the sequence numbers in (highest_ - kSize, highest_].
// Sequence numbers start at 1, so that 0 is never valid.
bool replay_window::Accept(std::uint64_t sequence) {
  if (sequence == 0)
    return false;
  if (sequence > highest_)
    Advance(sequence);
  else if (highest_ - sequence >= kSize)
    return false;
  const auto bit = sequence % kSize;
  if (seen_[bit])
    return false;
  seen_[bit] = true;
  return true;
}

// Clears the bits of the numbers that enter the window, which still hold the
// state of the numbers that leave it.
void replay_window::Advance(std::uint64_t sequence) {
  if (sequence - highest_ >= kSize) {
    seen_.reset();
  } else {
    for (auto next = highest_ + 1; next <= sequence; ++next)
      seen_[next % kSize] = false;
  }
  highest_ = sequence;
}

}  // namespace samphire
