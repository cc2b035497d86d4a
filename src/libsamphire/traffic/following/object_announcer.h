#ifndef TRAFFIC_FOLLOWING_OBJECT_ANNOUNCER_H_
#define TRAFFIC_FOLLOWING_OBJECT_ANNOUNCER_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "metrics/metrics.h"
#include "peer/news_channel.h"
#include "store/object_relay.h"
#include "store/watch_batch.h"
#include "traffic/following/object_news.h"
#include "traffic/following/urgent_objects.h"

namespace samphire {

// Tells all entries about changes of objects that are few, small and urgent, as
// soon as the platform has told them to one entry. Only speeds up what watches
// bring as well. Thread-safe.
class object_announcer final : public urgent_objects {
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

  bool Contains(const std::string& prefix) override;
  // Notes that the listing needs no announcement.
  void OnFirstListing(const std::string& prefix) override;
  // Does nothing for a prefix that is not followed, or if all entries have been
  // told the same.
  void OnPlatformChange(const std::string& prefix) override;

 private:
  // Keys and versions of a listing, and its era.
  struct listing_content {
    std::uint64_t era = 0;
    std::map<std::string, std::uint64_t> versions;
    bool operator==(const listing_content&) const = default;
  };
  struct followed_prefix {
    listing_handler receive;
    // What was announced last, by this entry or another, or first listed here.
    std::optional<listing_content> announced;
  };

  // Notes what is announced. Returns false if it was announced before, or if
  // the prefix is not followed.
  bool MarkAnnounced(const std::string& prefix, const watch_batch& listing);
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

#endif  // TRAFFIC_FOLLOWING_OBJECT_ANNOUNCER_H_
