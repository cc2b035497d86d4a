#ifndef FRONT_FRONT_RESPONSE_H_
#define FRONT_FRONT_RESPONSE_H_

#include <Poco/Net/HTTPServerResponseImpl.h>

#include <cstddef>
#include <ostream>

#include "front/front_session.h"
#include "front/front_shared_state.h"

namespace samphire {

// A response that tells its caller to close the connection if the entry is
// being stopped by the time at which the response begins. Used only by the
// thread of its connection.
class front_response final : public Poco::Net::HTTPServerResponseImpl {
 public:
  front_response(front_session& session, const front_shared_state& shared_state)
      : HTTPServerResponseImpl(session), shared_state_(shared_state) {}

  std::ostream& send() override;
  void sendBuffer(const void* buffer, std::size_t length) override;

 private:
  void UpdateKeepAlive();

  const front_shared_state& shared_state_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_RESPONSE_H_
