#ifndef TESTS_PLATFORM_ADAPTER_DIGEST_TARGET_H_
#define TESTS_PLATFORM_ADAPTER_DIGEST_TARGET_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphire::platform {

// Returns a digest of the bytes.
std::uint64_t DigestOf(const std::string& bytes);

// A request that a target ran.
struct digested_run {
  std::string id;
  std::size_t bytes = 0;
  std::uint64_t digest = 0;
};

// A target on a free local port that reads bodies by its own rules, runs only
// what has arrived whole, and keeps a digest of each body that it ran. Its
// threads end with it. Thread-safe.
class digest_target {
 public:
  explicit digest_target(std::string id);
  ~digest_target();
  digest_target(const digest_target&) = delete;
  digest_target& operator=(const digest_target&) = delete;

  const std::string& id() const { return id_; }
  std::string address() const { return address_; }
  // Refuses new connections from now on.
  void StopListening();

  // Whether requests are refused as not run, once they have arrived whole.
  std::atomic<bool> refuses = false;
  // The number of body bytes after which a connection is closed; negative for
  // never.
  std::atomic<std::int64_t> closes_after = -1;
  // Requests whose connection ended before their body.
  std::atomic<int> cut_bodies = 0;

  std::vector<digested_run> runs() const;

 private:
  class connection;

  void AcceptAll(const std::stop_token& stop);
  void Serve(Poco::Net::StreamSocket socket, const std::stop_token& stop);
  // Returns the response to a whole request.
  std::string Run(const std::string& id,
                  const std::string& expected_target,
                  const std::string& body);

  const std::string id_;
  Poco::Net::ServerSocket listener_;
  const std::string address_;
  mutable std::mutex lock_;
  std::vector<digested_run> runs_;
  std::vector<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_DIGEST_TARGET_H_
