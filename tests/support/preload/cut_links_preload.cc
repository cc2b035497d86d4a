// A library that is loaded into an entry process of a soak, to cut the links
// of this one process to targets. A file, named by the environment, says what
// the cut does: its kind, the port of a listener that takes no connections,
// that of one that never responds, and the ports of the targets.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace {

using connect_function = int (*)(int, const sockaddr*, socklen_t);
using close_function = int (*)(int);

constexpr std::chrono::milliseconds kReadInterval{20};

struct cut_order {
  // "none", "hang", "reset" or "refuse".
  std::string kind = "none";
  int full_port = 0;
  int silent_port = 0;
  std::set<int> targets;

  bool operator==(const cut_order&) const = default;
};

std::mutex lock;
// Descriptors of connections to targets.
std::set<int> connections;

connect_function RealConnect() {
  static const auto real =
      reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
  return real;
}

int RealClose(int descriptor) {
  static const auto real =
      reinterpret_cast<close_function>(dlsym(RTLD_NEXT, "close"));
  return real(descriptor);
}

cut_order ReadOrder() {
  cut_order order;
  const char* path = std::getenv("SAMPHIRE_TEST_CUT");
  std::ifstream file(path == nullptr ? "" : path);
  if (!(file >> order.kind >> order.full_port >> order.silent_port))
    return {};
  for (int port = 0; file >> port;)
    order.targets.insert(port);
  return order;
}

sockaddr_in Local(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Replaces the connection by one on which no response ever arrives. A thread
// may wait for the old one at that moment and read from the new one then, which
// must not block it.
void Silence(int descriptor, int port) {
  const int silent = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Local(port);
  if (RealConnect()(silent, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0) {
    fcntl(silent, F_SETFL, O_NONBLOCK);
    dup2(silent, descriptor);
  }
  RealClose(silent);
}

void Apply(const cut_order& order) {
  std::lock_guard guard(lock);
  for (const int descriptor : connections) {
    if (order.kind == "reset")
      shutdown(descriptor, SHUT_RDWR);
    else if (order.kind == "hang")
      Silence(descriptor, order.silent_port);
  }
}

void FollowOrders() {
  cut_order last;
  while (true) {
    const auto order = ReadOrder();
    if (order != last)
      Apply(order);
    last = order;
    std::this_thread::sleep_for(kReadInterval);
  }
}

// The thread must take none of the signals that the process waits for.
struct follower {
  follower() {
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    std::thread(FollowOrders).detach();
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
};
const follower started;

}  // namespace

extern "C" int connect(int descriptor,
                       const sockaddr* address,
                       socklen_t length) {
  const auto order = ReadOrder();
  const int port =
      address->sa_family == AF_INET
          ? ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port)
          : 0;
  if (!order.targets.contains(port))
    return RealConnect()(descriptor, address, length);
  if (order.kind == "reset" || order.kind == "refuse") {
    errno = ECONNREFUSED;
    return -1;
  }
  if (order.kind == "hang") {
    const auto full = Local(order.full_port);
    return RealConnect()(descriptor, reinterpret_cast<const sockaddr*>(&full),
                         sizeof(full));
  }
  const std::lock_guard guard(lock);
  connections.insert(descriptor);
  return RealConnect()(descriptor, address, length);
}

extern "C" int close(int descriptor) {
  {
    const std::lock_guard guard(lock);
    connections.erase(descriptor);
  }
  return RealClose(descriptor);
}
