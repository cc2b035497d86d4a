#ifndef TRAFFIC_FOLLOWING_OBJECT_NEWS_H_
#define TRAFFIC_FOLLOWING_OBJECT_NEWS_H_

#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "peer/peer_envelope.h"
#include "store/store_object.h"

namespace samphire {

// kObjectNews: all objects of one kind, as the platform has told them to the
// sender or to the entry that the sender relays for. Not acknowledged: an entry
// that misses it gets the change by its next watch.
struct object_news {
  std::string prefix;
  // An encoded patched_batch: a listing.
  std::string listing;
  // 1 if the receiver is to pass the news on to the other entries of its
  // region, else 0.
  std::uint8_t relay = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxObjectKeyBytes>(prefix),
            Bounded<kMaxPeerPayloadBytes>(listing), relay);
  }
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_OBJECT_NEWS_H_
