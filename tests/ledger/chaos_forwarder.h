#ifndef LEDGER_CHAOS_FORWARDER_H_
#define LEDGER_CHAOS_FORWARDER_H_

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ledger/forward_message.h"
#include "ledger/operation_forwarder.h"
#include "ledger/shard_router.h"

namespace samphire {

// Forwards to other ledgers in this process, and loses asks and answers or
// delivers asks much later, by a seed.
class chaos_forwarder final : public operation_forwarder {
 public:
  explicit chaos_forwarder(std::uint64_t seed) : random_(seed) {}

  std::optional<operation_outcome> Forward(const std::string& leader,
                                           const ledger_operation& operation,
                                           time_point) override {
    const auto ask = ToAsk(operation);
    const auto fate = std::uniform_int_distribution<>(0, 9)(random_);
    if (!ask || fate == 0)
      return std::nullopt;
    if (fate <= 2) {
      late_.emplace_back(leader, *ask);
      return std::nullopt;
    }
    const auto answer = Commit(leader, *ask);
    if (!answer || fate <= 4)
      return std::nullopt;
    return ToOutcome(ToAnswer(*answer), operation);
  }

  void DeliverLate() {
    if (late_.empty())
      return;
    const auto [leader, ask] = late_.back();
    late_.pop_back();
    Commit(leader, ask);
  }

  // Commits at the ledger of that name; nothing when it can't now.
  std::function<std::optional<operation_outcome>(const std::string&,
                                                 const ledger_operation&)>
      commit_at;

 private:
  std::optional<operation_outcome> Commit(const std::string& leader,
                                          const forward_ask& ask) {
    const auto sent = DecodeBinary<forward_ask>(EncodeBinary(ask));
    return sent ? commit_at(leader, ToOperation(*sent)) : std::nullopt;
  }

  std::mt19937_64 random_;
  std::vector<std::pair<std::string, forward_ask>> late_;
};

// The first entry leads every shard.
class first_leads final : public shard_router {
 public:
  explicit first_leads(bool is_first) : is_first_(is_first) {}
  std::string LeaderOf(std::uint32_t) const override {
    return is_first_ ? "" : "0";
  }

 private:
  const bool is_first_;
};

}  // namespace samphire

#endif  // LEDGER_CHAOS_FORWARDER_H_
