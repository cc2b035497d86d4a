#ifndef TRAFFIC_SHARED_STORE_H_
#define TRAFFIC_SHARED_STORE_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "store/object_watcher.h"
#include "traffic/mirror_messages.h"

namespace samphire {

// The platform's store as a fleet shares it: a few entries of each region
// watch the platform, the others watch those, and turn to the platform
// themselves only when no watcher has a fresh copy.
class shared_store final : public object_watcher {
 public:
  using address_list = std::function<std::vector<std::string>()>;

  // `watchers` are the region's, and none in a watcher; `peers` all that may
  // tell what they knew last.
  shared_store(object_watcher& platform,
               object_relay& relay,
               connection_pool& pool,
               peer_signer& signer,
               const clock_source& clock,
               address_list watchers,
               address_list peers);

  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait) override;

 private:
  result<watch_batch> WatchFresh(const std::string& prefix,
                                 std::uint64_t cursor,
                                 milliseconds wait);
  result<watch_batch> AskLastKnown(const std::string& prefix);
  result<watch_batch> AskPeer(const std::string& peer,
                              const mirror_ask& ask,
                              milliseconds timeout);
  result<watch_batch> AskPlatform(const std::string& prefix,
                                  std::uint64_t cursor,
                                  milliseconds wait,
                                  bool watches);
  // A source that failed is left alone for a while, so that the next call goes
  // to one that works at once.
  bool MayAsk(const std::string& source);
  void Pause(const std::string& source, milliseconds pause);

  object_watcher& platform_;
  object_relay& relay_;
  connection_pool& pool_;
  peer_signer& signer_;
  const clock_source& clock_;
  const address_list watchers_;
  const address_list peers_;
  std::mutex lock_;
  // Until when a peer, by its address, or the platform is left alone.
  std::map<std::string, time_point> not_before_;
};

}  // namespace samphire

#endif  // TRAFFIC_SHARED_STORE_H_
