#ifndef TRAFFIC_SENDING_TARGET_EXCHANGE_H_
#define TRAFFIC_SENDING_TARGET_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

#include "gateway/response_sink.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_use.h"
#include "proxy/http_exchange.h"
#include "traffic/sending/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Sends a request to one target and receives its response. Responses of up to
// 128 KiB are buffered whole, so that the request can be retried at another
// target if the response is truncated; longer ones stream to the caller. Used
// by the thread that handles the request.
class target_exchange {
 public:
  target_exchange(const traffic_context& context,
                  traffic_request& request,
                  const caller_watch& caller,
                  response_sink& sink);

  // Sends the request to the target, once, on a connection that `use` allows.
  // Blocks until the response was received or streamed, the attempt failed or
  // the request's deadline passed.
  target_exchange_end Run(const live_target& target, connection_use use);
  // The same through the entry at the peer address `relay`.
  target_exchange_end RunThrough(const std::string& relay,
                                 const live_target& target);

 private:
  // Sends the request through `relay`, or directly if that is empty.
  void Exchange(const std::string& relay,
                const live_target& target,
                connection_use use,
                target_exchange_end& end);
  // Sends the request on an open connection to the target.
  void SendTo(http_exchange& exchange,
              const live_target& target,
              target_exchange_end& end);
  // Sends the request on an open connection to `relay`.
  void SendThrough(http_exchange& exchange,
                   const std::string& relay,
                   const live_target& target,
                   target_exchange_end& end);
  // Sends a request with a long body, and the rest of it only if the relay asks
  // for that. The result is kNotSent if the relay gives no answer.
  result<void> SendIfAsked(http_exchange& exchange,
                           Poco::Net::HTTPRequest& head,
                           target_exchange_end& end);
  static void NotSent(result_code code, target_exchange_end& end);
  // Receives the response, or applies that the request could not be sent.
  void AfterSend(const result<void>& sent,
                 http_exchange& exchange,
                 bool relayed,
                 target_exchange_end& end);
  // Logs what was sent to the target, or to `relay` if that is not empty.
  void RecordSend(const http_exchange& exchange,
                  const std::string& relay,
                  const live_target& target,
                  const position_status& evacuations,
                  target_exchange_end& end) const;
  // Opens a connection to the target and reports that to the links. Returns
  // false if it failed.
  bool ConnectToTarget(http_exchange& exchange,
                       const live_target& target,
                       connection_use use,
                       target_exchange_end& end);
  // Returns false if it failed, which is no evidence about the target.
  static bool ConnectToRelay(http_exchange& exchange, target_exchange_end& end);
  void ReceiveResponse(http_exchange& exchange,
                       bool relayed,
                       target_exchange_end& end);
  // Applies what the relay reports of its attempt. Returns whether `head` is
  // that of the target's response.
  bool ApplyRelayStatus(const Poco::Net::HTTPResponse& head,
                        target_exchange_end& end) const;
  // Streams the response to the caller, beginning with the part `first` of its
  // body.
  void Stream(http_exchange& exchange,
              const Poco::Net::HTTPResponse& head,
              std::string_view first,
              target_exchange_end& end);
  void Fail(result_code code, target_exchange_end& end) const;

  const traffic_context& context_;
  traffic_request& request_;
  const caller_watch& caller_;
  response_sink& sink_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TARGET_EXCHANGE_H_
