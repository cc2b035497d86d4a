#ifndef MEMBERSHIP_GOSSIP_QUEUE_H_
#define MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "membership/gossip_block.h"
#include "membership/membership_table.h"
#include "membership/region_directory.h"

namespace samphire {

// Selects the updates that are piggybacked on a message, within a budget of
// bytes: one region in every other message, then members, then loads. Each
// update is sent a limited number of times. Not thread-safe.
class gossip_queue {
 public:
  // Queues an update on a member, with its complete record if other members may
  // not have it (`full_record`).
  void AddMember(const std::string& name, bool full_record);
  // Queues the digest of a region. `changed` says that its contacts or its
  // configuration version differ, not only its load.
  void AddRegion(const std::string& region, bool changed);

  // Adds queued updates of at most `budget` bytes to `block`.
  void Fill(gossip_block& block,
            const membership_table& table,
            const region_directory& regions,
            std::size_t budget);

 private:
  struct queued_member {
    bool full_record = false;
    int send_count = 0;
  };
  struct queued_region {
    int sends_left = 0;
    bool changed = false;
  };
  using queued_region_map = std::map<std::string, queued_region>;
  struct queued_load {
    std::uint32_t sequence = 0;
    int send_count = 0;
  };

  void FillMembers(gossip_block& block,
                   const membership_table& table,
                   std::size_t& budget);
  void FillRegion(gossip_block& block,
                  const region_directory& regions,
                  std::size_t& budget);
  queued_region_map::iterator NextRegion();
  void FillLoads(gossip_block& block,
                 const membership_table& table,
                 std::size_t& budget);

  std::map<std::string, queued_member> members_;
  queued_region_map regions_;
  // Name of the region that was sent last.
  std::string region_cursor_;
  // Whether a region came first in the last message; alternates.
  bool region_first_ = false;
  std::map<std::string, queued_load> loads_;
  // Loads are sent in turn, by name: the member at which the last message
  // stopped.
  std::string load_cursor_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_GOSSIP_QUEUE_H_
