#ifndef MEMBERSHIP_MEMBER_DIGEST_H_
#define MEMBERSHIP_MEMBER_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/service_load.h"

namespace samphire {

// Bounds the services whose load one member reports.
inline constexpr std::size_t kMaxServiceLoads = 8;

// The part of a member that changes continually: its load and configuration
// version. Only a hint: it lags behind by seconds.
struct member_digest {
  // Hash of the name and incarnation of the process; see ProcessId().
  std::uint32_t process_id = 0;
  // Rises with every change; of two digests the one with the higher sequence is
  // the newer.
  std::uint32_t sequence = 0;
  // Version of the configuration that the member has in force.
  std::uint64_t config_version = 0;
  // 1 if the member watches the platform (the external object store) itself, 0
  // if it gets changes from peers.
  std::uint8_t watching = 0;
  std::vector<service_load> loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process_id, sequence, config_version, watching,
            Bounded<kMaxServiceLoads>(loads));
  }
};

// Returns the number that identifies a process in digests. Collisions are
// possible but rare.
std::uint32_t ProcessId(std::string_view name, std::uint64_t incarnation);
// Returns the encoded size of `digest` in bytes.
std::size_t WireSize(const member_digest& digest);

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_DIGEST_H_
