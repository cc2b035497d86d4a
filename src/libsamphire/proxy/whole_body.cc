#include "proxy/whole_body.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "base/body_time_limits.h"

namespace samphire {

namespace {

// Bounds what is read from the connection at once.
constexpr std::size_t kReadBufferBytes = 16384;
// At least what is read at once, and small beside the bodies that need bounds.
constexpr std::size_t kPieceBytes = 2 * kReadBufferBytes;

// Collects a body of unknown length. One string that grows would hold the body
// twice each time it moves, and leave holes in the heap; a string for each read
// would cost many times its bytes where they come one by one.
class body_pieces {
 public:
  void Append(std::string_view bytes) {
    if (pieces_.empty() || pieces_.back().size() + bytes.size() > kPieceBytes)
      pieces_.emplace_back().reserve(kPieceBytes);
    pieces_.back().append(bytes);
    size_ += bytes.size();
  }

  // Returns the body and frees each piece once it is copied.
  std::string Join() {
    std::string whole;
    whole.reserve(size_);
    for (auto& piece : pieces_)
      whole.append(std::exchange(piece, {}));
    return whole;
  }

 private:
  std::vector<std::string> pieces_;
  std::size_t size_ = 0;
};

}  // namespace

result<std::string> ReadWholeBody(http_exchange& exchange,
                                  byte_budget& budget) {
  budget_share held(budget);
  body_pieces pieces;
  std::array<char, kReadBufferBytes> buffer;
  const auto deadline = std::chrono::steady_clock::now() + kMaxBodyTime;
  while (true) {
    exchange.SetDeadline(
        std::min(deadline, std::chrono::steady_clock::now() + kMaxBodyPause));
    BOOST_OUTCOME_TRY(got, exchange.ReadBody(buffer));
    if (got == 0)
      return pieces.Join();
    if (!held.Add(got))
      return MakeError(result_code::kPeerMalformed,
                       "response body exceeds the size limit");
    pieces.Append({buffer.data(), got});
  }
}

}  // namespace samphire
