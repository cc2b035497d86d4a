#include "ledger/recorded_answer.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

constexpr std::size_t kMaxHeaderName = 255;
constexpr std::size_t kMaxHeaderValue = 1024;

bool Fits(const recorded_answer& answer) {
  return answer.body.size() <= kMaxRecordedBody &&
         answer.headers.size() <= kMaxRecordedHeaders &&
         std::ranges::all_of(answer.headers, [](const auto& header) {
           return header.name.size() <= kMaxHeaderName &&
                  header.value.size() <= kMaxHeaderValue;
         });
}

}  // namespace

// A shard is rewritten whole with every batch, so one large answer would be
// paid for by every later reservation of the shard. Half an answer must never
// be replayed as a whole one: what doesn't fit is left out altogether.
recorded_answer Bound(recorded_answer answer) {
  if (Fits(answer)) {
    answer.kept = 1;
    return answer;
  }
  recorded_answer bare;
  bare.status = answer.status;
  return bare;
}

}  // namespace samphire
