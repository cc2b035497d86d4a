#include "front/front_response.h"

namespace samphire {

std::ostream& front_response::send() {
  UpdateKeepAlive();
  return HTTPServerResponseImpl::send();
}

void front_response::sendBuffer(const void* buffer, std::size_t length) {
  UpdateKeepAlive();
  HTTPServerResponseImpl::sendBuffer(buffer, length);
}

// A request may have begun long before the stop. Its caller would send the next
// one on the same connection.
void front_response::UpdateKeepAlive() {
  if (shared_state_.phase != front_phase::kOpen)
    setKeepAlive(false);
}

}  // namespace samphire
