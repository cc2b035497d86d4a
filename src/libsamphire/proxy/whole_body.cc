#include "proxy/whole_body.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "base/body_time_limits.h"

namespace samphire {

namespace {

// Bounds what is read from the connection at once.
constexpr std::size_t kReadBufferBytes = 16384;

}  // namespace

result<std::string> ReadWholeBody(http_exchange& exchange,
                                  std::size_t max_bytes) {
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  const auto deadline = std::chrono::steady_clock::now() + kMaxBodyTime;
  while (true) {
    exchange.SetDeadline(
        std::min(deadline, std::chrono::steady_clock::now() + kMaxBodyPause));
    BOOST_OUTCOME_TRY(got, exchange.ReadBody(buffer));
    if (got == 0)
      return body;
    body.append(buffer.data(), got);
    if (body.size() > max_bytes)
      return MakeError(result_code::kPeerMalformed,
                       "response body exceeds the size limit");
  }
}

}  // namespace samphire
