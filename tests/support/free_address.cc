#include "support/free_address.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace samphire {

std::string FreeAddress(const std::string& ip) {
  const Poco::Net::ServerSocket probe(Poco::Net::SocketAddress(ip, 0));
  return probe.address().toString();
}

}  // namespace samphire
