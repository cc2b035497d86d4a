#ifndef REVIEW_STAND_INS_LOOPBACK_H_
#define REVIEW_STAND_INS_LOOPBACK_H_

#include <netinet/in.h>

#include <string>

namespace review {

// Converts IP:PORT.
sockaddr_in SocketAddress(const std::string& address);
// Returns a loopback IP address of its own for each machine of a case.
std::string NextMachineIp();
// Returns a free port of an IP address, below the system's ephemeral ports.
int FreePort(const std::string& ip);
// A socket that listens, and its IP:PORT.
struct listening_socket {
  int descriptor = -1;
  std::string address;
};
// Listens at a free port of 127.0.0.1.
listening_socket ListenAnywhere();

}  // namespace review

#endif  // REVIEW_STAND_INS_LOOPBACK_H_
