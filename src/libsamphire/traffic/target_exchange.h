#ifndef TRAFFIC_TARGET_EXCHANGE_H_
#define TRAFFIC_TARGET_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>

#include "gateway/answer_sink.h"
#include "proxy/caller_watch.h"
#include "proxy/http_exchange.h"
#include "traffic/target_exchange_end.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Sends a request to one target and takes its answer. Answers are held whole
// up to a size, so that one that breaks off can be tried elsewhere; longer
// ones stream to the caller.
class target_exchange {
 public:
  target_exchange(const traffic_context& context,
                  const traffic_request& request,
                  const caller_watch& caller,
                  answer_sink& sink);

  target_exchange_end Run(const live_target& target);

 private:
  Poco::Net::HTTPRequest HeadFor(const live_target& target) const;
  void SetTeamHeader(Poco::Net::HTTPRequest& head) const;
  void SetBodyFraming(Poco::Net::HTTPRequest& head) const;
  // False when a connection that the target had closed took the request away
  // before the target could see it.
  bool TryOnce(const live_target& target, bool fresh, target_exchange_end& end);
  void TakeAnswer(http_exchange& exchange, target_exchange_end& end);
  void Judge(const Poco::Net::HTTPResponse& head,
             target_exchange_end& end) const;
  void Stream(http_exchange& exchange,
              const Poco::Net::HTTPResponse& head,
              std::string_view first,
              target_exchange_end& end);
  void Fail(result_code code, target_exchange_end& end) const;

  const traffic_context& context_;
  const traffic_request& request_;
  const caller_watch& caller_;
  answer_sink& sink_;
};

}  // namespace samphire

#endif  // TRAFFIC_TARGET_EXCHANGE_H_
