#ifndef GATEWAY_PEER_DIRECTORY_H_
#define GATEWAY_PEER_DIRECTORY_H_

#include <string>
#include <vector>

namespace samphire {

// An entry to which requests can be forwarded.
struct peer_entry {
  std::string name;
  std::string peer_address;
};

// The entries that are known in other regions. Functions may be called from any
// thread; what they return may lag behind.
class peer_directory {
 public:
  virtual ~peer_directory() = default;
  // Returns the live entries of the region, without leaving ones, in the order
  // in which this entry is to try them. The order differs between entries, so
  // that their requests spread over the region.
  virtual std::vector<peer_entry> EntriesIn(const std::string& region) = 0;
  // Whether gossip last reported free slots of the service in the region.
  virtual bool HasFreeSlots(const std::string& region,
                            const std::string& service) = 0;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_DIRECTORY_H_
