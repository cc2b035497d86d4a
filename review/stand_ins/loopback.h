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
// Listens at IP:PORT. Throws std::runtime_error if the address is in use.
int Listen(const std::string& address);

}  // namespace review

#endif  // REVIEW_STAND_INS_LOOPBACK_H_
