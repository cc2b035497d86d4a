#ifndef LEDGER_RECORDED_ANSWER_H_
#define LEDGER_RECORDED_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "ledger/recorded_header.h"

namespace samphire {

inline constexpr std::size_t kMaxRecordedHeaders = 16;
inline constexpr std::size_t kMaxRecordedBody = 4096;

// The answer of the one run of a request, as kept for its repeats.
struct recorded_answer {
  std::uint16_t status = 0;
  std::vector<recorded_header> headers;
  std::string body;
  // 0: headers and body were too large to keep, or an operator settled the
  // reservation without an answer.
  std::uint8_t kept = 0;

  bool operator==(const recorded_answer&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, kept, Bounded<kMaxRecordedHeaders>(headers),
            Bounded<kMaxRecordedBody>(body));
  }
};

// `answer` with what is over the bounds left out and `kept` set to match.
recorded_answer Bound(recorded_answer answer);

}  // namespace samphire

#endif  // LEDGER_RECORDED_ANSWER_H_
