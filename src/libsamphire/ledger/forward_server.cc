#include "ledger/forward_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "peer/peer_envelope.h"

namespace samphire {

namespace {

// Asks that may wait. With a platform that takes 20 ms a batch this is a
// second's worth at several thousand a second; more would only expire.
constexpr std::size_t kMaxQueued = 4096;
// Those who ask wait no longer than this.
constexpr milliseconds kCommitTime{250};

}  // namespace

forward_server::forward_server(ledger& subject,
                               peer_transport& transport,
                               const clock_source& clock,
                               metrics& registry,
                               std::size_t threads)
    : ledger_(subject),
      transport_(transport),
      clock_(clock),
      metrics_(registry) {
  threads_.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this](const std::stop_token& stop) { Run(stop); });
  }
  transport_.OnMessage(
      message_kind::kLedgerAsk,
      [this](const peer_message& message) { Receive(message); });
}

forward_server::~forward_server() {
  transport_.OnMessage(message_kind::kLedgerAsk, nullptr);
}

void forward_server::Receive(const peer_message& message) {
  auto ask = DecodeBinary<forward_ask>(message.payload);
  if (!ask)
    return Refuse("malformed");
  // A process speaks for its own reservations only.
  const reservation_holder sender{message.sender, message.incarnation};
  if (ask->entry.holder != sender)
    return Refuse("not-holder");
  const auto shard = ledger_.ShardFor(ask->entry.service, ask->entry.key);
  if (!shard)
    return Refuse("not-ready");
  std::lock_guard guard(lock_);
  if (queued_ >= kMaxQueued)
    return Refuse("queue-full");
  ++queued_;
  queues_[*shard].asks.push_back({message.from, std::move(*ask)});
  arrived_.notify_one();
}

void forward_server::Run(const std::stop_token& stop) {
  std::unique_lock guard(lock_);
  while (!stop.stop_requested()) {
    const auto ready = std::ranges::find_if(queues_, [](const auto& entry) {
      return !entry.second.busy && !entry.second.asks.empty();
    });
    if (ready == queues_.end()) {
      arrived_.wait(guard, stop, [this] {
        return std::ranges::any_of(queues_, [](const auto& entry) {
          return !entry.second.busy && !entry.second.asks.empty();
        });
      });
      continue;
    }
    auto& queue = ready->second;
    queue.busy = true;
    auto asks = std::exchange(queue.asks, {});
    queued_ -= asks.size();
    guard.unlock();
    CommitAll(ready->first, std::move(asks));
    guard.lock();
    queue.busy = false;
    arrived_.notify_one();
  }
}

// An ask that is past its time was given up by the one who asked: it went to
// the platform itself or told its caller "not run". Committing it now would
// only leave a reservation that nobody holds.
void forward_server::CommitAll(std::uint32_t shard,
                               std::vector<waiting_ask> asks) {
  const auto now = std::chrono::duration_cast<milliseconds>(
                       clock_.wall_now().time_since_epoch())
                       .count();
  const auto expired = std::erase_if(asks, [now](const waiting_ask& waiting) {
    return waiting.ask.expires_at < now;
  });
  for (std::size_t i = 0; i < expired; ++i)
    Refuse("expired");
  std::vector<ledger_operation> operations;
  operations.reserve(asks.size());
  for (const auto& waiting : asks)
    operations.push_back(ToOperation(waiting.ask));
  const auto outcomes = ledger_.CommitFor(shard, std::move(operations),
                                          clock_.now() + kCommitTime);
  for (std::size_t i = 0; i < asks.size(); ++i) {
    auto answer = ToAnswer(outcomes[i]);
    answer.id = asks[i].ask.id;
    auto payload = EncodeBinary(answer);
    // A replay that is too large is read from the platform by the asker.
    if (payload.size() > kMaxPeerPayload) {
      forward_answer too_large;
      too_large.id = answer.id;
      payload = EncodeBinary(too_large);
    }
    const auto sent =
        transport_.Send(asks[i].from, message_kind::kLedgerAnswer, payload);
    metrics_.Count("ledger_forwards_served_total",
                   sent ? "result=\"answered\"" : "result=\"unsent\"");
  }
}

void forward_server::Refuse(const char* reason) {
  metrics_.Count("ledger_forwards_refused_total",
                 fmt::format("reason=\"{}\"", reason));
}

}  // namespace samphire
