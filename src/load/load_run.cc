#include "load_run.h"

#include <atomic>
#include <thread>

namespace samphire {

namespace {

// Delay before the first request is due, so that all threads are running by
// then.
constexpr milliseconds kStartDelay{20};

}  // namespace

std::vector<request_outcome> RunLoad(caller& caller,
                                     const std::vector<arrival>& arrivals,
                                     std::uint32_t threads) {
  std::vector<request_outcome> outcomes(arrivals.size());
  std::atomic<std::size_t> next{0};
  const auto start = std::chrono::steady_clock::now() + kStartDelay;
  const auto send = [&] {
    for (auto i = next++; i < arrivals.size(); i = next++) {
      std::this_thread::sleep_until(start + arrivals[i].at);
      outcomes[i] = caller.SendWithRetries(arrivals[i], start);
    }
  };
  std::vector<std::thread> senders;
  senders.reserve(threads);
  for (std::uint32_t i = 0; i < threads; ++i)
    senders.emplace_back(send);
  for (auto& sender : senders)
    sender.join();
  return outcomes;
}

}  // namespace samphire
