#ifndef PEER_REPLAY_WINDOW_H_
#define PEER_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace samphire {

// A sliding window over the sequence numbers received from one process. Accepts
// each number once and tolerates reordering within the window. Not thread-safe.
class replay_window {
 public:
  // Number of sequence numbers that the window covers.
  static constexpr std::size_t kSize = 4096;

  // Returns whether `sequence` is new and records it. Numbers older than the
  // window, and 0, are not accepted.
  bool Accept(std::uint64_t sequence);

 private:
  void Advance(std::uint64_t sequence);

  std::uint64_t highest_ = 0;
  std::bitset<kSize> seen_;
};

}  // namespace samphire

#endif  // PEER_REPLAY_WINDOW_H_
