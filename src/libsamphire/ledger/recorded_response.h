#ifndef LEDGER_RECORDED_RESPONSE_H_
#define LEDGER_RECORDED_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "ledger/recorded_header.h"

namespace samphire {

// Upper bounds on a recorded response: number of headers, and bytes of the
// body.
inline constexpr std::size_t kMaxRecordedHeaders = 16;
inline constexpr std::size_t kMaxRecordedBody = 4096;

// The target's response to the single execution of a request, stored to be
// replayed to repeats. The field order of serialize() is the stored format.
struct recorded_response {
  // HTTP status code.
  std::uint16_t status = 0;
  std::vector<recorded_header> headers;
  std::string body;
  // 1 if headers and body are stored. 0 if they were too large, or if an
  // operator settled the reservation without a response.
  std::uint8_t content_recorded = 0;

  bool operator==(const recorded_response&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, content_recorded, Bounded<kMaxRecordedHeaders>(headers),
            Bounded<kMaxRecordedBody>(body));
  }
};

// Returns `response` with `content_recorded` set, or only its status if headers
// or body exceed their bounds.
recorded_response DropOversizedContent(recorded_response response);

}  // namespace samphire

#endif  // LEDGER_RECORDED_RESPONSE_H_
