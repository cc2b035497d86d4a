#ifndef FRONT_FRONT_CONNECTION_H_
#define FRONT_FRONT_CONNECTION_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include "base/result.h"
#include "front/front_session.h"
#include "front/front_shared_state.h"
#include "metrics/metrics.h"
#include "proxy/head_text.h"

namespace samphire {

// Serves the requests of one connection one after the other, in one thread of
// the server's thread pool. Input that can't be parsed as HTTP is refused with
// a result code before the connection is closed.
class front_connection final : public Poco::Net::TCPServerConnection {
 public:
  front_connection(const Poco::Net::StreamSocket& socket,
                   Poco::Net::HTTPServerParams::Ptr params,
                   Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                   front_shared_state& shared_state,
                   samphire::metrics& counters);

  // Returns when the connection is to be closed. Connection errors are logged
  // and counted, not thrown.
  void run() override;

 private:
  // What to do with the connection after a request. kClose: close it after
  // discarding input, such as an unread part of the body or another request.
  // kCloseNow: nothing was sent, or the connection is shut down already.
  enum class connection_disposition { kKeepOpen, kClose, kCloseNow };

  // Whether the first request had come before this thread ran. Returns false
  // from the second call on.
  bool HasWaitedWithRequest(const Poco::Net::StreamSocket& socket);
  // Waits for one request and handles it. Returns false when the connection is
  // to be closed.
  bool ServeOne(front_session& session);
  // Runs the handler of the request with this head, or refuses it in kRefusing
  // or if its headers contradict each other.
  connection_disposition Handle(front_session& session, const head_text& head);
  // Sends a refusal and leaves the connection to the closer.
  void Refuse(front_session& session, const error& reason);

  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::HTTPRequestHandlerFactory::Ptr factory_;
  front_shared_state& shared_state_;
  samphire::metrics& metrics_;
  const time_point accepted_;
  // When the request that is being served came, as far as that can be told.
  time_point arrived_;
  bool is_new_ = true;
};

}  // namespace samphire

#endif  // FRONT_FRONT_CONNECTION_H_
