#ifndef GATEWAY_ANSWER_RELAY_H_
#define GATEWAY_ANSWER_RELAY_H_

#include <string_view>

#include "gateway/answer_sink.h"
#include "gateway/outgoing_request.h"
#include "gateway/relay_end.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_pool.h"
#include "proxy/http_exchange.h"

namespace samphire {

// Sends one request and passes its answer on. Short answers are held back
// whole, so that a cut or failed one can still be tried elsewhere; longer ones
// stream through a small buffer.
class answer_relay {
 public:
  // `note` goes out with an answer that streams.
  answer_relay(connection_pool& pool,
               const caller_watch& caller,
               answer_sink& sink,
               response_status note);

  relay_end Run(const outgoing_request& request);

 private:
  // False when a stale connection took the request away.
  bool Exchange(const outgoing_request& request, bool fresh, relay_end& end);
  void ReadAnswer(http_exchange& exchange, relay_end& end);
  void Stream(http_exchange& exchange,
              const Poco::Net::HTTPResponse& head,
              std::string_view first,
              relay_end& end);

  connection_pool& pool_;
  const caller_watch& caller_;
  answer_sink& sink_;
  response_status note_;
};

// Sends a held answer.
void SendHeld(answer_sink& sink,
              const held_answer& answer,
              const response_status& note);

}  // namespace samphire

#endif  // GATEWAY_ANSWER_RELAY_H_
