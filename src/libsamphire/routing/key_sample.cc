#include "routing/key_sample.h"

namespace samphire {

namespace {

// More requests would tell the space of a key more exactly and cost more time
// for each request.
constexpr std::size_t kMaxRequests = 256;
// The demand of earlier times may have been for other keys. An entry with few
// requests would otherwise go by it for many minutes.
constexpr milliseconds kMaxAge{10'000};

}  // namespace

double key_sample::Add(std::uint64_t key_hash, double offset, time_point now) {
  Forget(now);
  std::size_t below = 0;
  std::size_t equal = 1;
  for (const auto& each : requests_) {
    below += each.key_hash < key_hash ? 1 : 0;
    equal += each.key_hash == key_hash ? 1 : 0;
  }
  requests_.push_back({key_hash, now});
  return (static_cast<double>(below) + offset * static_cast<double>(equal)) /
         static_cast<double>(requests_.size());
}

bool key_sample::IsOutdated(time_point now) const {
  return requests_.empty() || now - requests_.back().at > kMaxAge;
}

void key_sample::Forget(time_point now) {
  while (!requests_.empty() && (requests_.size() >= kMaxRequests ||
                                now - requests_.front().at > kMaxAge))
    requests_.pop_front();
}

}  // namespace samphire
