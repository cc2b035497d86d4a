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

// Picks the news that goes along with a message, within a budget of bytes: one
// region in every other message, members, then loads; each told a few times.
class gossip_queue {
 public:
  // News of a member; in full when others may not have its record.
  void AddMember(const std::string& name, bool in_full);
  // News of a region: other contacts or configuration, or only newer loads.
  void AddRegion(const std::string& region, bool changed);

  void Fill(gossip_block& block,
            const membership_table& table,
            const region_directory& regions,
            std::size_t budget);

 private:
  struct member_news {
    bool in_full = false;
    int told = 0;
  };
  struct region_news {
    int left = 0;
    bool changed = false;
  };
  using region_news_map = std::map<std::string, region_news>;
  struct load_news {
    std::uint32_t sequence = 0;
    int told = 0;
  };

  void FillMembers(gossip_block& block,
                   const membership_table& table,
                   std::size_t& budget);
  void FillRegion(gossip_block& block,
                  const region_directory& regions,
                  std::size_t& budget);
  region_news_map::iterator NextRegion();
  void FillLoads(gossip_block& block,
                 const membership_table& table,
                 std::size_t& budget);

  std::map<std::string, member_news> members_;
  region_news_map regions_;
  std::string region_cursor_;
  bool region_turn_ = false;
  std::map<std::string, load_news> loads_;
  // Loads go round: where the last message stopped.
  std::string load_cursor_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_GOSSIP_QUEUE_H_
