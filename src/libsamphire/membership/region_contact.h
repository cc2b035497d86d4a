#ifndef MEMBERSHIP_REGION_CONTACT_H_
#define MEMBERSHIP_REGION_CONTACT_H_

#include <string>

#include "base/bounded_codec.h"
#include "membership/member.h"

namespace samphire {

// An entry by which another region can be reached. Addresses are host
// and port.
struct region_contact {
  std::string name;
  std::string caller_address;
  std::string peer_address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberNameBytes>(name),
            Bounded<kMaxAddressBytes>(caller_address),
            Bounded<kMaxAddressBytes>(peer_address));
  }
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_CONTACT_H_
