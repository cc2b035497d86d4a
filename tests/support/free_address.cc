#include "support/free_address.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace samphire {

namespace {

// Below the ports that systems hand out by themselves (32768 and up on Linux).
// One of those, free now, may be any other connection's before the program
// that is to listen there has started.
constexpr int kFirstPort = 10'240;
constexpr int kPorts = 32'768 - kFirstPort;
// Test programs that run side by side begin far from each other.
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
  throw std::runtime_error("no free port");
}

}  // namespace samphire
