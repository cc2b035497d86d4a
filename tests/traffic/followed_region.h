#ifndef TESTS_TRAFFIC_FOLLOWED_REGION_H_
#define TESTS_TRAFFIC_FOLLOWED_REGION_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "front/front_server.h"
#include "gateway/peer_signer.h"
#include "metrics/metrics.h"
#include "proxy/connection_pool.h"
#include "store/object_follower.h"
#include "store/object_relay.h"
#include "support/relay.h"
#include "traffic/following/object_announcer.h"
#include "traffic/following/shared_store.h"
#include "traffic/region_store.h"
#include "traffic/routed_transport.h"

namespace samphire {

// One entry of a region: it follows the store directly or through peers, and
// peers reach it through a link of limited bandwidth. Records which values it
// has received. Entries announce changes to each other under their names.
class followed_entry final : public object_watcher {
 public:
  followed_entry(region_store& store,
                 transport_router& router,
                 const std::string& name,
                 std::int64_t link_bytes_per_second);

  // Starts to follow `prefixes` according to `plan`, and to tell `peers` of
  // changes under those of `announced`.
  void Start(const source_plan& plan,
             const std::vector<std::string>& prefixes,
             const std::set<std::string>& announced,
             const std::vector<std::string>& peers);
  // Ends the calls that are under way.
  void Stop();

  // Time of its one processor that this entry needs for each call of a peer.
  std::atomic<milliseconds> call_time{milliseconds{0}};
  // While set, the store refuses this entry's calls.
  std::atomic<bool> turned_away = false;
  source_role role() const { return plan_.role; }
  // Name of this entry, its role, and whether the store turns it away.
  std::string Describe() const;
  // Peer address of this entry.
  const std::string& address() const { return link_.address(); }
  // Whether this entry has received the value.
  bool HasReceived(const std::string& key, const std::string& value) const;

  // Watches the store as this entry's platform.
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override;

 private:
  void UseProcessor();
  void OnObjects(const object_mirror::object_map& objects);

  region_store& store_;
  const std::string name_;
  const system_clock_source clock_;
  metrics counters_;
  peer_signer signer_;
  object_relay relay_{clock_};
  routed_transport transport_;
  std::set<std::string> announced_;
  std::vector<std::string> peers_;
  object_announcer announcer_;
  connection_pool pool_;
  const std::string server_address_;
  // Held while the processor is in use.
  std::mutex processor_;
  relay link_;
  front_server server_;
  source_plan plan_;
  std::unique_ptr<shared_store> shared_;
  std::vector<std::unique_ptr<object_follower>> followers_;
  mutable std::mutex lock_;
  // Hashes of the values, by key.
  std::map<std::string, std::set<std::size_t>> received_;
};

// A region of entries with links of 10 Mbit/s that choose their sources as the
// product does.
class followed_region {
 public:
  // Entries tell each other of changes under `announced`.
  followed_region(std::size_t size,
                  const std::vector<std::string>& prefixes,
                  const std::set<std::string>& announced = {});
  ~followed_region();

  region_store& store() { return store_; }
  // Lets the store turn away every `step`-th entry, beginning with `first`.
  void TurnAway(std::size_t first, std::size_t step);
  // Lets the store turn away up to `count` entries of a role.
  void TurnAway(source_role role, std::size_t count);
  // Sets the time of its processor that each entry needs for a peer's call.
  void SetCallTime(milliseconds time);
  // Waits until all entries have received the value, but at most for `limit`.
  // Returns the names and roles of those that have not.
  std::vector<std::string> WaitForAll(const std::string& key,
                                      const std::string& value,
                                      milliseconds limit) const;

 private:
  region_store store_;
  transport_router router_;
  std::vector<std::unique_ptr<followed_entry>> entries_;
};

}  // namespace samphire

#endif  // TESTS_TRAFFIC_FOLLOWED_REGION_H_
