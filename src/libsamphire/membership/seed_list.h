#ifndef MEMBERSHIP_SEED_LIST_H_
#define MEMBERSHIP_SEED_LIST_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/membership_table.h"

namespace samphire {

// Peer addresses (IP:PORT) to send joins to: from the settings, the instance
// list of the platform, and the digests of other regions. Not thread-safe.
class seed_list {
 public:
  // `start` is a random position in the list, so that entries that are started
  // together do not all send joins to the same few addresses.
  explicit seed_list(std::size_t start) : next_(start) {}

  // Adds an address if it is new; the oldest is dropped when the list is full.
  void Add(const std::string& address);

  // Returns the next addresses to send a join to, at most `count`, in rotation.
  // Dead members of `table` are included, members that are known to be up are
  // skipped.
  std::vector<std::string> Next(const membership_table& table,
                                std::size_t count);

 private:
  std::vector<std::string> addresses_;
  std::size_t next_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_SEED_LIST_H_
