#include "support/cut_links.h"

#include <thread>

#include "proxy/tcp_connection_opener.h"

namespace samphire {

void cut_links::AddTarget(const std::string& address) {
  std::lock_guard guard(lock_);
  links_[address].connections = std::make_unique<relay>("127.0.0.1", address);
}

void cut_links::Cut(const std::string& address, link_cut cut) {
  std::lock_guard guard(lock_);
  Apply(links_.at(address), cut);
}

void cut_links::CutAll(link_cut cut) {
  std::lock_guard guard(lock_);
  for (auto& [address, one] : links_)
    Apply(one, cut);
}

void cut_links::Apply(link& one, link_cut cut) {
  one.cut = cut;
  const bool blocked = cut == link_cut::kHang;
  one.connections->SetBlocked(relay::direction::kForward, blocked);
  one.connections->SetBlocked(relay::direction::kReturn, blocked);
  if (cut == link_cut::kReset)
    one.connections->ResetConnections();
}

result<Poco::Net::StreamSocket> cut_links::Open(const std::string& address,
                                                milliseconds timeout) const {
  auto cut = link_cut::kNone;
  auto reached = address;
  {
    std::lock_guard guard(lock_);
    if (const auto found = links_.find(address); found != links_.end()) {
      cut = found->second.cut;
      reached = found->second.connections->address();
    }
  }
  if (cut == link_cut::kNone)
    return tcp_connection_opener::Default().Open(reached, timeout);
  if (cut == link_cut::kHang)
    std::this_thread::sleep_for(timeout);
  return MakeError(result_code::kTargetUnreachable, "the link is cut");
}

}  // namespace samphire
