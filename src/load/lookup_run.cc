#include "lookup_run.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <thread>
#include <vector>

#include "keep_alive_pool.h"

namespace samphire {

namespace {

// Limit for connecting to the entry.
constexpr std::chrono::seconds kConnectTimeout{1};

// Sends look-ups one after the other on one connection until `end`.
void RunLookupsUntil(const std::string& entry,
                     const std::string& service,
                     time_point end,
                     std::atomic<std::uint64_t>& answered,
                     std::atomic<std::uint64_t>& failed) {
  keep_alive_pool pool;
  while (std::chrono::steady_clock::now() < end) {
    try {
      auto connection = pool.Acquire("", entry, kConnectTimeout);
      Poco::Net::HTTPRequest request("GET", "/v1/lookup?service=" + service,
                                     "HTTP/1.1");
      request.setHost(entry);
      request.setKeepAlive(true);
      connection.session->sendRequest(request);
      Poco::Net::HTTPResponse response;
      Poco::NullOutputStream discarded;
      Poco::StreamCopier::copyStream(
          connection.session->receiveResponse(response), discarded);
      ++(response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? answered
                                                                  : failed);
      if (response.getKeepAlive())
        pool.Release("", entry, std::move(connection));
    } catch (const Poco::Exception&) {
      ++failed;
    }
  }
}

}  // namespace

lookup_run_result RunLookups(const std::string& entry,
                             const std::string& service,
                             std::uint32_t threads,
                             duration run_time) {
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> failed{0};
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> client_threads;
  client_threads.reserve(threads);
  for (std::uint32_t i = 0; i < threads; ++i) {
    client_threads.emplace_back([&] {
      RunLookupsUntil(entry, service, start + run_time, answered, failed);
    });
  }
  for (auto& client_thread : client_threads)
    client_thread.join();
  return {.answered = answered,
          .failed = failed,
          .time = std::chrono::steady_clock::now() - start};
}

}  // namespace samphire
