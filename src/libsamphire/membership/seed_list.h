#ifndef MEMBERSHIP_SEED_LIST_H_
#define MEMBERSHIP_SEED_LIST_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/membership_table.h"

namespace samphire {

// Addresses to join by: from the settings, the platform's list and the
// digests of other regions.
class seed_list {
 public:
  // Starts anywhere in the list, so that entries that are started together
  // don't all knock at the same few.
  explicit seed_list(std::size_t start) : next_(start) {}

  void Add(const std::string& address);

  // The next addresses to knock at, at most `count`, in turn; those of members
  // that are known to be up are passed over.
  std::vector<std::string> Next(const membership_table& table,
                                std::size_t count);

 private:
  std::vector<std::string> addresses_;
  std::size_t next_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_SEED_LIST_H_
