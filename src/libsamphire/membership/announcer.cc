#include "membership/announcer.h"

namespace samphire {

namespace {

// With every tenth message lost, one receiver in a hundred thousand misses all:
// when half of a large region is lost at once, there are thousands of them.
constexpr int kSends = 5;
constexpr milliseconds kSendInterval{300};

}  // namespace

void announcer::Add(const std::string& name, time_point now) {
  announced_[name] = {kSends, now};
}

std::vector<std::string> announcer::TakeDue(time_point now) {
  std::vector<std::string> due;
  for (auto it = announced_.begin(); it != announced_.end();) {
    auto& [name, each] = *it;
    if (now >= each.due) {
      due.push_back(name);
      each.due = now + kSendInterval;
      --each.sends_left;
    }
    it = each.sends_left == 0 ? announced_.erase(it) : std::next(it);
  }
  return due;
}

}  // namespace samphire
