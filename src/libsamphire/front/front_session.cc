#include "front/front_session.h"

#include <algorithm>
#include <array>
#include <utility>

namespace samphire {

namespace {

// Upper bound of the bytes that are received at once.
constexpr std::size_t kReceiveBytes = std::size_t{16} << 10U;

}  // namespace

front_session::front_session(const Poco::Net::StreamSocket& socket,
                             Poco::Net::HTTPServerParams::Ptr params,
                             const cancel_signal& cutting)
    : HTTPServerSession(socket, std::move(params)), cutting_(cutting) {}

bool front_session::Fill() {
  std::array<char, kReceiveBytes> buffer;
  const int received =
      socket().receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  if (received <= 0)
    return false;
  input_.append(buffer.data(), static_cast<std::size_t>(received));
  return true;
}

// Most connections wait for a request most of the time and keep no memory for
// it meanwhile.
void front_session::Skip(std::size_t count) {
  used_ += count;
  if (used_ < input_.size())
    return;
  used_ = 0;
  input_ = std::string();
}

int front_session::ReadRaw(char* buffer, std::streamsize length) {
  if (!HasBuffered())
    return socket().receiveBytes(buffer, static_cast<int>(length));
  const auto bytes =
      buffered_bytes().substr(0, static_cast<std::size_t>(length));
  std::ranges::copy(bytes, buffer);
  const auto count = bytes.size();
  Skip(count);
  return static_cast<int>(count);
}

}  // namespace samphire
