#ifndef ROUTING_PERMIT_GRANTORS_H_
#define ROUTING_PERMIT_GRANTORS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphire {

// Indexes of the entries that grant the permits of a limit, in the list given
// to ChooseGrantors; nothing where the list has too few entries.
struct permit_grantors {
  std::optional<std::size_t> owner;
  // Grants permits while the owner does not respond.
  std::optional<std::size_t> backup;
};

// Chooses the owner and its backup by rendezvous hashing. The result depends
// only on `subject`, which names what is limited, and on the set of entries.
// Safe to call from any thread.
permit_grantors ChooseGrantors(std::string_view subject,
                               const std::vector<std::string>& entries);

}  // namespace samphire

#endif  // ROUTING_PERMIT_GRANTORS_H_
