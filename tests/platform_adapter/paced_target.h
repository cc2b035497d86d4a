#ifndef TESTS_PLATFORM_ADAPTER_PACED_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_PACED_TARGET_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace samphire::platform {

// How a target answers: after a random time of up to `max_time`, in `pieces`
// that are sent at equal intervals of that time.
struct answer_pace {
  std::chrono::milliseconds max_time{100};
  int pieces = 1;
  std::size_t bytes = 3000;
};

// When a target ran a request; without an end, its connection was closed first.
struct paced_run {
  std::chrono::steady_clock::time_point begin;
  std::optional<std::chrono::steady_clock::time_point> end;
};

// A target on a free local port that answers slowly, and knows when it ran
// which request. Thread-safe.
class paced_target {
 public:
  paced_target(std::string id, const answer_pace& pace, std::uint64_t seed);
  ~paced_target();
  paced_target(const paced_target&) = delete;
  paced_target& operator=(const paced_target&) = delete;

  const std::string& id() const { return id_; }
  std::string address() const { return address_; }
  // All runs, by request id.
  std::multimap<std::string, paced_run> runs() const;

 private:
  void AcceptAll(const std::stop_token& stop);
  void Serve(Poco::Net::StreamSocket socket, const std::stop_token& stop);
  // Runs a request and sends the answer. Returns whether it was sent whole.
  bool Answer(Poco::Net::StreamSocket& socket, const std::string& request_id);
  std::chrono::milliseconds NextTime();

  const std::string id_;
  const answer_pace pace_;
  Poco::Net::ServerSocket listener_;
  const std::string address_;
  mutable std::mutex lock_;
  std::mt19937_64 random_;
  std::multimap<std::string, paced_run> runs_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_PACED_TARGET_H_
