#ifndef PEER_REPLAY_WINDOW_H_
#define PEER_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace samphire {

// The sequence numbers seen of one process, as far back as the window goes.
class replay_window {
 public:
  static constexpr std::size_t kSize = 4096;

  // Whether `sequence` is new; a number older than the window is not.
  bool Accept(std::uint64_t sequence);

 private:
  void Advance(std::uint64_t sequence);

  std::uint64_t highest_ = 0;
  std::bitset<kSize> seen_;
};

}  // namespace samphire

#endif  // PEER_REPLAY_WINDOW_H_
