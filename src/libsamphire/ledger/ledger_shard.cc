#include "ledger/ledger_shard.h"

#include <iterator>
#include <utility>

#include "ledger/operation_applier.h"

namespace samphire {

namespace {

// Upper bound on a shard's size for new reservations. The platform accepts
// values of up to one megabyte; using half of it leaves space for the
// completions of existing reservations and keeps rewriting the shard to a few
// milliseconds.
constexpr std::size_t kMaxShardBytes = std::size_t{512} * 1024;
// Upper bounds on the encoded size of an entry's numbers, times and length
// fields, and of the length fields around a header, in bytes.
constexpr std::size_t kEntryOverhead = 64;
constexpr std::size_t kHeaderOverhead = 4;

std::size_t BytesOf(const ledger_entry& entry) {
  std::size_t bytes = kEntryOverhead + entry.service.size() + entry.key.size() +
                      entry.request_digest.size() +
                      entry.holder.instance.size() +
                      entry.response.body.size() + entry.settled_by.size() +
                      entry.reason.size();
  for (const auto& header : entry.response.headers)
    bytes += kHeaderOverhead + header.name.size() + header.value.size();
  return bytes;
}

}  // namespace

ledger_shard::apply_result ledger_shard::Apply(
    const ledger_operation& operation,
    const apply_context& context) {
  return std::visit(operation_applier(*this, context), operation);
}

// Entries that are not settled are kept regardless of their age: without the
// entry, a repeat would be executed although the first execution may have
// happened.
void ledger_shard::Compact(const apply_context& context) {
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

// Released entries can be dropped before their retention ends, since their
// requests were not executed.
bool ledger_shard::EnsureSpace(std::size_t bytes) {
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

bool IsInDoubt(const ledger_entry& entry, const apply_context& context) {
  if (entry.state == reservation_state::kUnknown)
    return true;
  if (entry.state != reservation_state::kReserved)
    return false;
  const bool replaced = entry.holder.instance == context.self.instance &&
                        entry.holder.incarnation != context.self.incarnation;
  return replaced || context.now > entry.in_doubt_after ||
         (context.holder_failed && context.holder_failed(entry.holder));
}

}  // namespace samphire
