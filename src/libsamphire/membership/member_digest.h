#ifndef MEMBERSHIP_MEMBER_DIGEST_H_
#define MEMBERSHIP_MEMBER_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/service_load.h"

namespace samphire {

inline constexpr std::size_t kMaxServiceLoads = 8;

// What changes all the time about a member. A hint: it lags by seconds.
struct member_digest {
  // Stands for the process: name and incarnation.
  std::uint32_t process_id = 0;
  // Rises with every change.
  std::uint32_t sequence = 0;
  std::uint64_t config_version = 0;
  // Whether it holds a watch on the platform.
  std::uint8_t watching = 0;
  std::vector<service_load> loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process_id, sequence, config_version, watching,
            Bounded<kMaxServiceLoads>(loads));
  }
};

std::uint32_t ProcessId(std::string_view name, std::uint64_t incarnation);
std::size_t WireSize(const member_digest& digest);

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_DIGEST_H_
