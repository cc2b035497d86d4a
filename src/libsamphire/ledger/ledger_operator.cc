#include "base/log.h"
#include "ledger/ledger.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_layout.h"

// Implements the operator calls of the ledger.

namespace samphire {

namespace {

// Time after which an operator's decision is not attempted again; a call to the
// platform is not interrupted. Longer than for callers, since an operator would
// rather wait than get an uncertain result.
constexpr milliseconds kResolveTimeout{5000};

}  // namespace

result<ledger_record> ledger::Show(const std::string& service,
                                   const std::string& key) {
  BOOST_OUTCOME_TRY(EnsureShardsOpen());
  const auto shard = ShardOf(service, key, shard_count_);
  shard_store stored(store_, ShardKey(shard), metrics_);
  BOOST_OUTCOME_TRY(stored.Load());
  const auto* entry = stored.cached()->shard.Find(service, key);
  if (entry == nullptr)
    return MakeError(result_code::kUnknownLedgerKey, key);
  return ledger_record{*entry, shard, IsInDoubt(*entry, Context())};
}

result<unresolved_report> ledger::Unresolved() {
  BOOST_OUTCOME_TRY(objects, store_.List(kLedgerPrefix));
  metrics_.Count("ledger_store_calls_total", "call=\"list\"");
  unresolved_report report;
  const auto context = Context();
  for (const auto& object : objects) {
    if (!IsShardKey(object.key))
      continue;
    const auto shard = DecodeShard(object.value);
    if (!shard) {
      report.corrupt_shards.push_back(object.key);
      continue;
    }
    for (const auto& [key, entry] : shard.value().entries()) {
      if (IsInDoubt(entry, context))
        report.entries.push_back(entry);
    }
  }
  metrics_.Set("ledger_unresolved", {},
               static_cast<double>(report.entries.size()));
  return report;
}

result<void> ledger::Resolve(const std::string& service,
                             const std::string& key,
                             resolution as,
                             const std::string& operator_name,
                             const std::string& reason) {
  if (operator_name.empty() || operator_name.size() > kMaxOperatorName ||
      reason.empty() || reason.size() > kMaxReason) {
    return MakeError(
        result_code::kValueOutOfRange,
        "operator (1 to 255 bytes) and reason (1 to 1024 bytes) are required");
  }
  BOOST_OUTCOME_TRY(EnsureShardsOpen());
  const auto outcomes =
      CommitterOf(service, key)
          .Commit({resolve_operation{service, key, as, operator_name, reason}},
                  clock_.now() + kResolveTimeout);
  if (const auto* refusal = std::get_if<refused>(&outcomes.front()))
    return MakeError(refusal->code, refusal->detail);
  Log(log_level::kWarning, "ledger-resolved",
      {{"service", service},
       {"key", key},
       {"as", NameOf(kResolutionNames, as)},
       {"operator", operator_name},
       {"reason", reason}});
  return Success();
}

}  // namespace samphire
