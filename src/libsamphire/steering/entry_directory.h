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

// The entries that may be named in an answer to a look-up, by region.
// Immutable; made anew when the members change.
class entry_directory
    : public boost::intrusive_ref_counter<entry_directory,
                                          boost::thread_safe_counter> {
 public:
  struct candidate {
    std::string name;
    std::string address;
    std::uint64_t name_hash = 0;
    // How many callers it should get beside the others of its region.
    double weight = 1;
  };

  // Leaving entries are left out.
  explicit entry_directory(const std::vector<live_entry>& entries);

  const std::vector<candidate>& In(std::string_view region) const;

 private:
  std::map<std::string, std::vector<candidate>, std::less<>> by_region_;
};

}  // namespace samphire

#endif  // STEERING_ENTRY_DIRECTORY_H_
