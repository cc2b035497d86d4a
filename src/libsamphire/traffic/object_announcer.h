#ifndef TRAFFIC_OBJECT_ANNOUNCER_H_
#define TRAFFIC_OBJECT_ANNOUNCER_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "metrics/metrics.h"
#include "peer/news_channel.h"
#include "store/object_relay.h"
#include "store/watch_batch.h"
#include "traffic/object_news.h"

namespace samphire {

// Tells all entries about changes of objects that are few, small and urgent, as
// soon as the platform has told them to one entry. Only speeds up what watches
// bring as well. Thread-safe.
class object_announcer {
 public:
  // Receives a listing that another entry got from the platform a moment ago.
  // Runs on the transport's thread.
  using listing_handler = std::function<void(const watch_batch&)>;

  // `transport`, `relay` and `counters` must outlive this object.
  object_announcer(peer_transport& transport,
                   object_relay& relay,
                   news_channel<object_news>::peer_provider peers,
                   metrics& counters);

  // Makes changes under `prefix` be announced, and those that others announce
  // be passed to `receive`. An empty handler ends that; the call returns once
  // none runs any more.
  void Follow(const std::string& prefix, listing_handler receive);
  // To be called when the platform has returned changes under `prefix`, which
  // are in the relay by now. Does nothing for a prefix that is not followed, or
  // if all entries have been told the same. Does not block.
  void OnPlatformChange(const std::string& prefix);

 private:
  // Keys and versions of a listing, and its era.
  struct listing_content {
    std::uint64_t era = 0;
    std::map<std::string, std::uint64_t> versions;
    bool operator==(const listing_content&) const = default;
  };
  struct followed_prefix {
    listing_handler receive;
    // What was announced last, by this entry or another.
    listing_content announced;
    // Whether anything was.
    bool any_announced = false;
  };

  static listing_content ContentOf(const watch_batch& listing);
  void OnNews(const object_news& news, const std::string& from);

  object_relay& relay_;
  metrics& metrics_;
  std::mutex lock_;
  std::map<std::string, followed_prefix> followed_;
  // Declared last, so that no news comes before or after the other members
  // exist.
  news_channel<object_news> channel_;
};

}  // namespace samphire

#endif  // TRAFFIC_OBJECT_ANNOUNCER_H_
