#ifndef LEDGER_FORWARD_SERVER_H_
#define LEDGER_FORWARD_SERVER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock_source.h"
#include "ledger/forward_message.h"
#include "ledger/ledger.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Commits the operations that other entries forward to this one as the leader
// of a shard. Worker threads commit at most one batch per shard at a time; each
// batch takes all requests queued for its shard. Requests arrive on the
// transport's receiving thread, which only queues them.
class forward_server {
 public:
  // Registers for message_kind::kLedgerRequest and starts `threads` workers, so
  // that up to that many shards are committed at once.
  forward_server(ledger& local_ledger,
                 peer_transport& transport,
                 const clock_source& clock,
                 metrics& registry,
                 std::size_t threads = 4);
  // Unregisters, then stops and joins the workers.
  ~forward_server();

  forward_server(const forward_server&) = delete;
  forward_server& operator=(const forward_server&) = delete;

 private:
  // A request and the peer address that the response goes to.
  struct queued_request {
    std::string from;
    forward_request request;
  };
  // The requests waiting for one shard. `committing` is set while a worker
  // commits an earlier batch of the same shard.
  struct shard_queue {
    bool committing = false;
    std::vector<queued_request> requests;
  };

  // Validates and queues a request, or drops and counts it.
  void Receive(const peer_message& message);
  // Commits queued batches until asked to stop.
  void RunWorker(const std::stop_token& stop);
  // Drops expired requests, commits the rest in one call and sends a response
  // to each.
  void CommitRequests(std::uint32_t shard,
                      std::vector<queued_request> requests);
  // Counts a request that was dropped without a response.
  void CountRefusal(const char* reason);

  ledger& ledger_;
  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  // Guards queues_ and queued_.
  std::mutex lock_;
  std::condition_variable_any arrived_;
  std::map<std::uint32_t, shard_queue> queues_;
  // The number of requests in all queues.
  std::size_t queued_ = 0;
  std::vector<std::jthread> threads_;
};

}  // namespace samphire

#endif  // LEDGER_FORWARD_SERVER_H_
