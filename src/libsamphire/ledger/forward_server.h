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

// Commits what other entries forward to this one as leader of a shard, with
// threads of its own: one at a time for each shard, all that waits at once.
class forward_server {
 public:
  forward_server(ledger& subject,
                 peer_transport& transport,
                 const clock_source& clock,
                 metrics& registry,
                 std::size_t threads = 4);
  ~forward_server();

  forward_server(const forward_server&) = delete;
  forward_server& operator=(const forward_server&) = delete;

 private:
  struct waiting_ask {
    std::string from;
    forward_ask ask;
  };
  struct shard_queue {
    bool busy = false;
    std::vector<waiting_ask> asks;
  };

  void Receive(const peer_message& message);
  void Run(const std::stop_token& stop);
  void CommitAll(std::uint32_t shard, std::vector<waiting_ask> asks);
  void Refuse(const char* reason);

  ledger& ledger_;
  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  std::mutex lock_;
  std::condition_variable_any arrived_;
  std::map<std::uint32_t, shard_queue> queues_;
  std::size_t queued_ = 0;
  std::vector<std::jthread> threads_;
};

}  // namespace samphire

#endif  // LEDGER_FORWARD_SERVER_H_
