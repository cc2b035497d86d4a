#ifndef TRAFFIC_SENDING_LINK_PROBER_H_
#define TRAFFIC_SENDING_LINK_PROBER_H_

#include "base/stoppable_thread.h"
#include "proxy/connection_pool.h"
#include "traffic/sending/target_links.h"

namespace samphire {

// Opens connections to targets that this entry could not reach, so that
// requests go there directly again once that works. Such a connection serves
// the next request. Has a thread of its own, which waits while there is no such
// target.
class link_prober {
 public:
  // `links` and `pool` must outlive this object.
  link_prober(target_links& links, connection_pool& pool);
  ~link_prober();
  link_prober(const link_prober&) = delete;
  link_prober& operator=(const link_prober&) = delete;

  void Start();

 private:
  // Returns the time until the next probe.
  duration ProbeAll();
  // Returns whether the target can be reached.
  bool Probe(const live_target& target);

  target_links& links_;
  connection_pool& pool_;
  // Declared last, so that the thread ends before the rest does.
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_LINK_PROBER_H_
