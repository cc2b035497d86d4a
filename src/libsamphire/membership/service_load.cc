#include "membership/service_load.h"

#include <xxhash.h>

namespace samphire {

std::uint32_t ServiceId(std::string_view service) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(service.data(), service.size()));
}

}  // namespace samphire
