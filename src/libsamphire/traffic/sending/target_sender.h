#ifndef TRAFFIC_SENDING_TARGET_SENDER_H_
#define TRAFFIC_SENDING_TARGET_SENDER_H_

#include <string>
#include <vector>

#include "gateway/response_sink.h"
#include "proxy/caller_watch.h"
#include "traffic/sending/target_exchange.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Makes one attempt at a target: directly, or through another entry while this
// entry's own link to the target is cut. The target gets the request once at
// most. Used by the thread that handles the request.
class target_sender {
 public:
  target_sender(const traffic_context& context,
                traffic_request& request,
                const caller_watch& caller,
                response_sink& sink);

  // Blocks as target_exchange::Run(), which makes a direct attempt. The result
  // is kConnectFailed only if other entries can't reach the target either, or
  // if nothing speaks against this entry's links; else kNotSent.
  target_exchange_end Send(const live_target& target, connection_use use);

 private:
  // Makes the attempt through other entries, or directly if none has a
  // connection to the target.
  target_exchange_end SendRelayed(const live_target& target,
                                  connection_use use);
  // Asks other entries, one after the other, until one has a connection to the
  // target.
  target_exchange_end SendThroughPeers(const std::vector<std::string>& relays,
                                       const live_target& target);
  std::vector<std::string> Relays() const;
  // Whether the target may still get requests.
  bool IsStillOpen(const live_target& target) const;
  // Whether another send is of use and may be made.
  bool MayGoOn(const live_target& target) const;

  const traffic_context& context_;
  traffic_request& request_;
  const caller_watch& caller_;
  target_exchange exchange_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TARGET_SENDER_H_
