#include "support/free_address.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace samphire {

namespace {

// Ports below the ephemeral range of the system (32768 and up on Linux). A free
// ephemeral port may be assigned to any other connection before the program
// that should listen on it has started.
constexpr int kFirstPort = 10'240;
constexpr int kPorts = 32'768 - kFirstPort;
// Distance between the first ports of test programs with consecutive process
// ids, so that programs that run in parallel rarely try the same ports.
constexpr int kPortsOfProcess = 1009;

bool IsFree(const std::string& ip, int port) {
  try {
    const Poco::Net::ServerSocket probe(
        Poco::Net::SocketAddress(ip, static_cast<Poco::UInt16>(port)));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

std::string FreeAddress(const std::string& ip) {
  static std::atomic<int> next{getpid() % kPorts * kPortsOfProcess % kPorts};
  for (int tried = 0; tried < kPorts; ++tried) {
    const int port = kFirstPort + next++ % kPorts;
    if (IsFree(ip, port))
      return ip + ":" + std::to_string(port);
  }
  throw std::runtime_error("no free port below the ephemeral range");
}

}  // namespace samphire
