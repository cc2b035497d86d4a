#ifndef GATEWAY_GATE_SET_H_
#define GATEWAY_GATE_SET_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "gateway/deployment.h"
#include "gateway/service_gate.h"

namespace samphire {

using gate_ptr = boost::intrusive_ptr<service_gate>;

// The gates of the services that are or were declared, for their targets in
// this entry's region. Gates survive configuration changes, because work in
// progress must still be counted. Thread-safe.
class gate_set {
 public:
  gate_set(std::string region,
           std::uint64_t incarnation,
           const clock_source& clock,
           service_gate::message_sink sink);

  // Creates and updates the gates to match a new configuration.
  void Follow(const deployment& present);

  // The shift budget that all gates share.
  shift_account& shifts() const { return *shifts_; }

  // Returns the gate of the service, or null.
  gate_ptr Find(const std::string& service) const;
  // Returns all gates with the names of their services.
  std::vector<std::pair<std::string, gate_ptr>> All() const;

 private:
  const std::string region_;
  const shift_account_ptr shifts_;
  const std::uint64_t incarnation_;
  const clock_source& clock_;
  const service_gate::message_sink sink_;
  mutable std::mutex lock_;
  std::map<std::string, gate_ptr> gates_;
};

}  // namespace samphire

#endif  // GATEWAY_GATE_SET_H_
