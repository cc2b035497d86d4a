#ifndef TARGET_WORKER_IDENTITY_H_
#define TARGET_WORKER_IDENTITY_H_

#include <cstdint>
#include <string>

namespace samphire {

// Who a stand-in worker is.
struct worker_identity {
  std::string name;
  std::string service;
  std::string region;
  std::string failure_domain;
  // IP:PORT by number; port 0 takes a free one.
  std::string address;
  std::uint32_t slots = 1;

  // The name that is unique in a deployment.
  std::string full_name() const { return service + "/" + name; }
};

}  // namespace samphire

#endif  // TARGET_WORKER_IDENTITY_H_
