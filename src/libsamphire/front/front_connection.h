#ifndef FRONT_FRONT_CONNECTION_H_
#define FRONT_FRONT_CONNECTION_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include "base/result_code.h"
#include "front/front_control.h"
#include "front/front_session.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves the requests of one connection, one after the other. Whatever can't
// be understood gets a numbered answer before the connection is closed.
class front_connection final : public Poco::Net::TCPServerConnection {
 public:
  front_connection(const Poco::Net::StreamSocket& socket,
                   Poco::Net::HTTPServerParams::Ptr params,
                   Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                   front_control& control,
                   samphire::metrics& counters);

  void run() override;

 private:
  // What becomes of the connection after a request. kUnread: part of the body
  // is still to come, and would be taken for the next request.
  enum class request_end { kKeep, kClose, kUnread };

  // False when the connection is to be closed.
  bool ServeOne(front_session& session);
  request_end Handle(front_session& session);
  void Refuse(front_session& session, result_code code);

  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::HTTPRequestHandlerFactory::Ptr factory_;
  front_control& control_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_CONNECTION_H_
