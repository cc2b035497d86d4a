#ifndef STEERING_ENTRY_DIRECTORY_H_
#define STEERING_ENTRY_DIRECTORY_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "steering/live_entry.h"

namespace samphire {

// The entries that a look-up response may list, by region. Immutable, so any
// thread may read it without a lock; replaced as a whole when the fleet's
// members change.
class entry_directory
    : public boost::intrusive_ref_counter<entry_directory,
                                          boost::thread_safe_counter> {
 public:
  // An entry and what its rank for a caller is computed from.
  struct candidate {
    std::string name;
    // IP:PORT for callers.
    std::string address;
    // XXH3 hash of the name, the same at every entry of the fleet.
    std::uint64_t name_hash = 0;
    // Share of callers that it should get, relative to the other entries of its
    // region; lower for entries under high load.
    double weight = 1;
  };

  // Entries that are leaving are left out.
  explicit entry_directory(const std::vector<live_entry>& entries);

  // Returns the entries of a region; empty if it has none or is unknown.
  const std::vector<candidate>& EntriesIn(std::string_view region) const;

 private:
  std::map<std::string, std::vector<candidate>, std::less<>> by_region_;
};

}  // namespace samphire

#endif  // STEERING_ENTRY_DIRECTORY_H_
