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
#include "steering/shared_snapshot.h"

namespace samphire {

// What request threads see of the fleet: a copy of the membership, made anew
// every now and then, so that no request waits for membership's lock.
class fleet_view final : public peer_directory {
 public:
  fleet_view(std::string own_region, node_state& state);

  // Copies what membership knows now, and the directory for look-ups.
  void Refresh(const membership_service& membership,
               const std::vector<std::string>& regions);

  std::vector<peer_entry> EntriesIn(const std::string& region) override;
  bool HasRoom(const std::string& region, const std::string& service) override;
  // The peer address of a member of the own region, or empty.
  std::string AddressOf(const std::string& name) const;
  std::vector<std::string> OwnRegionPeers() const;

 private:
  struct region_part {
    std::vector<peer_entry> entries;
    std::uint32_t free_slots = 0;
  };
  struct copy
      : public boost::intrusive_ref_counter<copy, boost::thread_safe_counter> {
    std::map<std::string, region_part> regions;
    std::map<std::string, std::string> own_addresses;
  };

  const std::string own_region_;
  node_state& state_;
  shared_snapshot<copy> copy_;
};

}  // namespace samphire

#endif  // GATEWAY_FLEET_VIEW_H_
