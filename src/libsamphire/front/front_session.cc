#include "front/front_session.h"

#include <utility>

namespace samphire {

front_session::front_session(const Poco::Net::StreamSocket& socket,
                             Poco::Net::HTTPServerParams::Ptr params,
                             const cancel_signal& cutting)
    : HTTPServerSession(socket, std::move(params)), cutting_(cutting) {}

int front_session::ReadRaw(char* buffer, std::streamsize length) {
  return read(buffer, length);
}

bool front_session::HasBuffered() const {
  return buffered() > 0;
}

}  // namespace samphire
