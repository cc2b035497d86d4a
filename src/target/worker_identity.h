#ifndef TARGET_WORKER_IDENTITY_H_
#define TARGET_WORKER_IDENTITY_H_

#include <cstdint>
#include <string>

namespace samphire {

// Name, location and capacity of a simulated target.
struct worker_identity {
  std::string name;
  std::string service;
  std::string region;
  std::string failure_domain;
  // Numeric IP:PORT; port 0 selects a free port.
  std::string address;
  // Requests that it runs at once.
  std::uint32_t slots = 1;

  // Returns the name that is unique in a deployment, SERVICE/NAME.
  std::string full_name() const { return service + "/" + name; }
};

}  // namespace samphire

#endif  // TARGET_WORKER_IDENTITY_H_
