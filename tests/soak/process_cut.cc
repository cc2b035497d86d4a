#include "soak/process_cut.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <utility>

#include "base/enum_names.h"

namespace samphire {

namespace {

constexpr enum_names<link_cut, 4> kOrders{{
    {link_cut::kNone, "none"},
    {link_cut::kHang, "hang"},
    {link_cut::kReset, "reset"},
    {link_cut::kRefuseNew, "refuse"},
}};
// More than the queue of a listener with the shortest one.
constexpr int kQueuedConnections = 4;
constexpr int kSilentQueue = 4096;

Poco::Net::ServerSocket Listen(int queue) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  socket.listen(queue);
  return socket;
}

}  // namespace

process_cut::process_cut(std::string file,
                         const std::vector<std::string>& targets)
    : file_(std::move(file)), full_(Listen(0)), silent_(Listen(kSilentQueue)) {
  for (const auto& target : targets)
    target_ports_ +=
        fmt::format(" {}", Poco::Net::SocketAddress(target).port());
  for (int i = 0; i < kQueuedConnections; ++i) {
    queued_.emplace_back();
    queued_.back().connectNB(full_.address());
  }
  Apply(link_cut::kNone);
}

std::vector<std::string> process_cut::environment() const {
  return {"LD_PRELOAD=" SAMPHIRE_BIN_DIR "/libcut_links_preload.so",
          "SAMPHIRE_TEST_CUT=" + file_};
}

void process_cut::Apply(link_cut cut) const {
  const auto next = file_ + ".next";
  std::ofstream(next) << NameOf(kOrders, cut) << ' ' << full_.address().port()
                      << ' ' << silent_.address().port() << target_ports_
                      << '\n';
  std::rename(next.c_str(), file_.c_str());
}

}  // namespace samphire
