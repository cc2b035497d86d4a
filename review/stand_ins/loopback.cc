#include "loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

constexpr int kFirstPort = 10'240;
constexpr int kPorts = 20'000;
constexpr int kBacklog = 512;
// Machines get 127.X.Y.N, where X and Y depend on the process id, so that cases
// which run at the same time don't share addresses.
constexpr int kOctets = 200;

int TryListen(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto at = SocketAddress(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) ==
          0 &&
      listen(descriptor, kBacklog) == 0)
    return descriptor;
  close(descriptor);
  return -1;
}

}  // namespace

sockaddr_in SocketAddress(const std::string& address) {
  const auto colon = address.find(':');
  sockaddr_in converted{};
  converted.sin_family = AF_INET;
  converted.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &converted.sin_addr);
  return converted;
}

std::string NextMachineIp() {
  static int number = 0;
  const int id = getpid();
  return "127." + std::to_string(1 + id / kOctets % kOctets) + "." +
         std::to_string(id % kOctets) + "." + std::to_string(++number);
}

int FreePort(const std::string& ip) {
  static int next = getpid() % kPorts;
  for (int tried = 0; tried < kPorts; ++tried) {
    const int port = kFirstPort + next++ % kPorts;
    const int descriptor = TryListen(ip + ":" + std::to_string(port));
    if (descriptor < 0)
      continue;
    close(descriptor);
    return port;
  }
  throw std::runtime_error("no free port at " + ip);
}

listening_socket ListenAnywhere() {
  const std::string ip = "127.0.0.1";
  while (true) {
    const auto address = ip + ":" + std::to_string(FreePort(ip));
    const int descriptor = TryListen(address);
    if (descriptor >= 0)
      return {descriptor, address};
  }
}

}  // namespace review
