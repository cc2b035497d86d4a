#include "proxy/whole_body.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

#include "base/body_time_limits.h"

namespace samphire {

namespace {

// Bounds what is read from the connection at once.
constexpr std::size_t kReadBufferBytes = 16384;

std::string Joined(std::vector<std::string> pieces, std::size_t bytes) {
  std::string whole;
  whole.reserve(bytes);
  for (auto& piece : pieces)
    whole.append(std::exchange(piece, {}));
  return whole;
}

}  // namespace

// One string that grows would hold a body twice each time it moves, and leave
// holes in the heap, so that a body without end would cost several times its
// bound.

result<std::string> ReadWholeBody(http_exchange& exchange,
                                  byte_budget& budget) {
  budget_share held(budget);
  std::vector<std::string> pieces;
  std::size_t bytes = 0;
  std::array<char, kReadBufferBytes> buffer;
  const auto deadline = std::chrono::steady_clock::now() + kMaxBodyTime;
  while (true) {
    exchange.SetDeadline(
        std::min(deadline, std::chrono::steady_clock::now() + kMaxBodyPause));
    BOOST_OUTCOME_TRY(got, exchange.ReadBody(buffer));
    if (got == 0)
      return Joined(std::move(pieces), bytes);
    if (!held.Add(got))
      return MakeError(result_code::kPeerMalformed,
                       "response body exceeds the size limit");
    pieces.emplace_back(buffer.data(), got);
    bytes += got;
  }
}

}  // namespace samphire
