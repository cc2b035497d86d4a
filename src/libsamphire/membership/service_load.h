#ifndef MEMBERSHIP_SERVICE_LOAD_H_
#define MEMBERSHIP_SERVICE_LOAD_H_

#include <cstdint>
#include <string_view>

namespace samphire {

// Load of one service at one entry: its free slots and queued requests. The
// service is identified by a number, since its name would take more bytes than
// all the rest.
struct service_load {
  std::uint32_t service_id = 0;
  std::uint16_t free_slots = 0;
  std::uint16_t queued = 0;

  bool operator==(const service_load&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service_id, free_slots, queued);
  }
};

// Returns the number that identifies a service in loads, a hash of its name.
std::uint32_t ServiceId(std::string_view service);

}  // namespace samphire

#endif  // MEMBERSHIP_SERVICE_LOAD_H_
