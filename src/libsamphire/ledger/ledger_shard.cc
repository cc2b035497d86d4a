#include "ledger/ledger_shard.h"

#include <iterator>
#include <utility>

#include "ledger/shard_judge.h"

namespace samphire {

namespace {

// The platform takes a megabyte; half of it leaves room for completions of
// what is reserved and keeps a rewrite of the shard to a few milliseconds.
constexpr std::size_t kMaxShardBytes = std::size_t{512} * 1024;
// The numbers, times and lengths of an entry and the pair around a header.
constexpr std::size_t kEntryOverhead = 64;
constexpr std::size_t kHeaderOverhead = 4;

std::size_t BytesOf(const ledger_entry& entry) {
  std::size_t bytes = kEntryOverhead + entry.service.size() + entry.key.size() +
                      entry.request_digest.size() +
                      entry.holder.instance.size() + entry.answer.body.size() +
                      entry.settled_by.size() + entry.reason.size();
  for (const auto& header : entry.answer.headers)
    bytes += kHeaderOverhead + header.name.size() + header.value.size();
  return bytes;
}

}  // namespace

ledger_shard::judgement ledger_shard::Apply(const ledger_operation& operation,
                                            const judge_context& context) {
  return std::visit(shard_judge(*this, context), operation);
}

// An entry that nobody settled stays, however old: dropping it would let a
// repeat run, and its first run may have happened.
void ledger_shard::Compact(const judge_context& context) {
  const auto oldest = context.now - context.retention;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    const auto& entry = it->second;
    const bool settled = entry.state == reservation_state::kDone ||
                         entry.state == reservation_state::kReleased;
    if (settled && entry.changed_at < oldest)
      Erase(it);
    it = next;
  }
}

void ledger_shard::Insert(ledger_entry entry) {
  bytes_ += BytesOf(entry);
  auto key = std::pair(entry.service, entry.key);
  entries_.insert_or_assign(std::move(key), std::move(entry));
}

const ledger_entry* ledger_shard::Find(const std::string& service,
                                       const std::string& key) const {
  const auto found = entries_.find(std::pair(service, key));
  return found == entries_.end() ? nullptr : &found->second;
}

void ledger_shard::Erase(entry_map::iterator entry) {
  bytes_ -= BytesOf(entry->second);
  entries_.erase(entry);
}

// What was released did not run, so that forgetting it early is safe.
bool ledger_shard::MakeRoom(std::size_t bytes) {
  if (bytes_ + bytes <= kMaxShardBytes)
    return true;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    if (it->second.state == reservation_state::kReleased)
      Erase(it);
    it = next;
  }
  return bytes_ + bytes <= kMaxShardBytes;
}

bool IsInDoubt(const ledger_entry& entry, const judge_context& context) {
  if (entry.state == reservation_state::kUnknown)
    return true;
  if (entry.state != reservation_state::kReserved)
    return false;
  const bool replaced = entry.holder.instance == context.self.instance &&
                        entry.holder.incarnation != context.self.incarnation;
  return replaced || context.now > entry.doubt_after ||
         (context.holder_gone && context.holder_gone(entry.holder));
}

}  // namespace samphire
