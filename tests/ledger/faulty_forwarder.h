#ifndef LEDGER_FAULTY_FORWARDER_H_
#define LEDGER_FAULTY_FORWARDER_H_

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ledger/forward_message.h"
#include "ledger/operation_forwarder.h"
#include "ledger/shard_router.h"

namespace samphire {

// Forwards operations to other ledgers of this process. Loses requests and
// responses and delays requests, pseudo-randomly by a seed. Single-threaded.
class faulty_forwarder final : public operation_forwarder {
 public:
  explicit faulty_forwarder(std::uint64_t seed) : random_(seed) {}

  std::optional<operation_outcome> Forward(const std::string& leader,
                                           const ledger_operation& operation,
                                           time_point) override {
    const auto request = ToRequest(operation);
    // 0: the request is lost; 1 and 2: it is delayed; 3 and 4: the response is
    // lost; otherwise there is no fault.
    const auto fault = std::uniform_int_distribution<>(0, 9)(random_);
    if (!request || fault == 0)
      return std::nullopt;
    if (fault <= 2) {
      delayed_.emplace_back(leader, *request);
      return std::nullopt;
    }
    const auto response = Commit(leader, *request);
    if (!response || fault <= 4)
      return std::nullopt;
    return ToOutcome(ToResponse(*response), operation);
  }

  // Delivers the request that was delayed last.
  void DeliverDelayed() {
    if (delayed_.empty())
      return;
    const auto [leader, request] = delayed_.back();
    delayed_.pop_back();
    Commit(leader, request);
  }

  // Commits an operation at the ledger of the given name. Returns nullopt if
  // that ledger can't commit now.
  std::function<std::optional<operation_outcome>(const std::string&,
                                                 const ledger_operation&)>
      commit_at;

 private:
  // Commits a request after encoding and decoding it as a message.
  std::optional<operation_outcome> Commit(const std::string& leader,
                                          const forward_request& request) {
    const auto sent = DecodeBinary<forward_request>(EncodeBinary(request));
    return sent ? commit_at(leader, ToOperation(*sent)) : std::nullopt;
  }

  std::mt19937_64 random_;
  std::vector<std::pair<std::string, forward_request>> delayed_;
};

// Router by which entry "0" leads every shard.
class first_entry_router final : public shard_router {
 public:
  // `is_first` tells whether the router belongs to that entry.
  explicit first_entry_router(bool is_first) : is_first_(is_first) {}
  std::string LeaderOf(std::uint32_t) const override {
    return is_first_ ? "" : "0";
  }

 private:
  const bool is_first_;
};

}  // namespace samphire

#endif  // LEDGER_FAULTY_FORWARDER_H_
