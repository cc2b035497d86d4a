#include "ledger/forward_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "peer/peer_envelope.h"

namespace samphire {

namespace {

// Maximum number of queued requests over all shards. With a platform that takes
// 20 ms per batch, this is one second's load at several thousand requests per
// second; requests beyond it would only expire in the queue.
constexpr std::size_t kMaxQueuedRequests = 4096;
// Time after which a batch is not attempted again; a call to the platform is
// not interrupted. The requesting entries don't wait longer for the response.
constexpr milliseconds kCommitTimeout{250};

}  // namespace

forward_server::forward_server(ledger& local_ledger,
                               peer_transport& transport,
                               const clock_source& clock,
                               metrics& registry,
                               std::size_t threads)
    : ledger_(local_ledger),
      transport_(transport),
      clock_(clock),
      metrics_(registry) {
  threads_.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.emplace_back(
        [this](const std::stop_token& stop) { RunWorker(stop); });
  }
  transport_.OnMessage(
      message_kind::kLedgerRequest,
      [this](const peer_message& message) { Receive(message); });
}

forward_server::~forward_server() {
  transport_.OnMessage(message_kind::kLedgerRequest, nullptr);
}

void forward_server::Receive(const peer_message& message) {
  auto request = DecodeBinary<forward_request>(message.payload);
  if (!request)
    return CountRefusal("malformed");
  // A process may only change its own reservations.
  const reservation_holder sender{message.sender, message.incarnation};
  if (request->entry.holder != sender)
    return CountRefusal("not-holder");
  const auto shard =
      ledger_.ShardFor(request->entry.service, request->entry.key);
  if (!shard)
    return CountRefusal("not-ready");
  std::lock_guard guard(lock_);
  if (queued_ >= kMaxQueuedRequests)
    return CountRefusal("queue-full");
  ++queued_;
  queues_[*shard].requests.push_back({message.from, std::move(*request)});
  arrived_.notify_one();
}

void forward_server::RunWorker(const std::stop_token& stop) {
  std::unique_lock guard(lock_);
  while (!stop.stop_requested()) {
    const auto idle_queue =
        std::ranges::find_if(queues_, [](const auto& entry) {
          return !entry.second.committing && !entry.second.requests.empty();
        });
    if (idle_queue == queues_.end()) {
      arrived_.wait(guard, stop, [this] {
        return std::ranges::any_of(queues_, [](const auto& entry) {
          return !entry.second.committing && !entry.second.requests.empty();
        });
      });
      continue;
    }
    auto& queue = idle_queue->second;
    queue.committing = true;
    auto requests = std::exchange(queue.requests, {});
    queued_ -= requests.size();
    guard.unlock();
    CommitRequests(idle_queue->first, std::move(requests));
    guard.lock();
    queue.committing = false;
    arrived_.notify_one();
  }
}

// The entry that sent a request stops waiting before the request expires: it
// has committed the operation through the platform itself or told its caller
// "not run". Committing an expired request would only leave a reservation that
// no process dispatches.
void forward_server::CommitRequests(std::uint32_t shard,
                                    std::vector<queued_request> requests) {
  const auto now = std::chrono::duration_cast<milliseconds>(
                       clock_.wall_now().time_since_epoch())
                       .count();
  const auto expired =
      std::erase_if(requests, [now](const queued_request& waiting) {
        return waiting.request.expires_at < now;
      });
  for (std::size_t i = 0; i < expired; ++i)
    CountRefusal("expired");
  std::vector<ledger_operation> operations;
  operations.reserve(requests.size());
  for (const auto& waiting : requests)
    operations.push_back(ToOperation(waiting.request));
  const auto outcomes = ledger_.CommitFor(shard, std::move(operations),
                                          clock_.now() + kCommitTimeout);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    auto response = ToResponse(outcomes[i]);
    response.id = requests[i].request.id;
    auto payload = EncodeBinary(response);
    // A replay that doesn't fit a peer message is answered with a refusal, upon
    // which the requesting entry reads it from the platform.
    if (payload.size() > kMaxPeerPayloadBytes) {
      forward_response too_large;
      too_large.id = response.id;
      payload = EncodeBinary(too_large);
    }
    const auto sent = transport_.Send(requests[i].from,
                                      message_kind::kLedgerResponse, payload);
    metrics_.Count("ledger_forwards_served_total",
                   sent ? "result=\"answered\"" : "result=\"unsent\"");
  }
}

void forward_server::CountRefusal(const char* reason) {
  metrics_.Count("ledger_forwards_refused_total",
                 fmt::format("reason=\"{}\"", reason));
}

}  // namespace samphire
