#ifndef GATEWAY_PEER_DIRECTORY_H_
#define GATEWAY_PEER_DIRECTORY_H_

#include <string>
#include <vector>

namespace samphire {

// An entry that requests can be passed to.
struct peer_entry {
  std::string name;
  std::string peer_address;
};

// Who can be reached in other regions, as far as this entry knows.
class peer_directory {
 public:
  virtual ~peer_directory() = default;
  // Live entries of the region, none that leaves, the least loaded first.
  virtual std::vector<peer_entry> EntriesIn(const std::string& region) = 0;
  // Whether gossip last told of free slots of the service in the region.
  virtual bool HasRoom(const std::string& region,
                       const std::string& service) = 0;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_DIRECTORY_H_
