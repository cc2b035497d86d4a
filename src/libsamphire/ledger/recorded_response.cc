#include "ledger/recorded_response.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Upper bounds on a recorded header, in bytes; they match recorded_header's
// serialize().
constexpr std::size_t kMaxHeaderName = 255;
constexpr std::size_t kMaxHeaderValue = 1024;

bool Fits(const recorded_response& response) {
  return response.body.size() <= kMaxRecordedBody &&
         response.headers.size() <= kMaxRecordedHeaders &&
         std::ranges::all_of(response.headers, [](const auto& header) {
           return header.name.size() <= kMaxHeaderName &&
                  header.value.size() <= kMaxHeaderValue;
         });
}

}  // namespace

// Every batch rewrites the whole shard, so a large response would add to the
// cost of every later reservation in the shard. A partial response must never
// be replayed as a complete one, so headers and body are omitted altogether if
// either doesn't fit.
recorded_response DropOversizedContent(recorded_response response) {
  if (Fits(response)) {
    response.content_recorded = 1;
    return response;
  }
  recorded_response bare;
  bare.status = response.status;
  return bare;
}

}  // namespace samphire
