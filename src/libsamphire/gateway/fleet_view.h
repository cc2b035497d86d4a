#ifndef GATEWAY_FLEET_VIEW_H_
#define GATEWAY_FLEET_VIEW_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/node_state.h"
#include "gateway/peer_directory.h"
#include "membership/membership_service.h"
#include "peer/news_peers.h"
#include "steering/shared_snapshot.h"

namespace samphire {

// The fleet as request threads see it: a copy of the membership that is
// replaced periodically, so that no request waits for the lock of
// membership_service. Refresh is called by the ticker thread, the other
// functions by any thread without a lock. Before the first Refresh there are no
// entries.
class fleet_view final : public peer_directory {
 public:
  fleet_view(std::string own_region, node_state& state);

  // Copies the current membership, and publishes the directory that look-ups
  // read. `regions` are the declared regions.
  void Refresh(const membership_service& membership,
               const std::vector<std::string>& regions);

  std::vector<peer_entry> EntriesIn(const std::string& region) override;
  // Ignores the service, because the regions' digests carry only the free slots
  // of all services together.
  bool HasFreeSlots(const std::string& region,
                    const std::string& service) override;
  // Returns the peer address of another member of the own region, or an empty
  // string if it is unknown or declared failed.
  std::string AddressOf(const std::string& name) const;
  // Returns the peer addresses of the other members of the own region that are
  // not declared failed.
  std::vector<std::string> OwnRegionPeers() const;
  // Returns those and one entry of each other region.
  news_peers NewsPeers() const;

 private:
  struct region_part {
    std::vector<peer_entry> entries;
    std::uint32_t free_slots = 0;
  };
  struct snapshot
      : public boost::intrusive_ref_counter<snapshot,
                                            boost::thread_safe_counter> {
    // By region name; entries of other regions only.
    std::map<std::string, region_part> regions;
    // Peer addresses of the own region's other members, by name.
    std::map<std::string, std::string> own_addresses;
  };

  const std::string own_region_;
  node_state& state_;
  shared_snapshot<snapshot> snapshot_;
};

}  // namespace samphire

#endif  // GATEWAY_FLEET_VIEW_H_
