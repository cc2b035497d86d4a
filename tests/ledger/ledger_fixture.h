#ifndef LEDGER_LEDGER_FIXTURE_H_
#define LEDGER_LEDGER_FIXTURE_H_

#include <memory>
#include <string>
#include <variant>

#include "ledger/ledger.h"
#include "ledger/local_shard_router.h"
#include "support/fake_object_store.h"
#include "support/manual_clock.h"

namespace samphire {

// Creates ledgers of several entries over one fake platform, in simulated time.
struct ledger_fixture {
  // Starts the ledger of one process. The overrides replace the fixture's own
  // store and router.
  std::unique_ptr<ledger> Open(const std::string& instance,
                               std::uint64_t incarnation = 1,
                               object_store* object_store_override = nullptr,
                               const shard_router* router_override = nullptr,
                               operation_forwarder* forwarder = nullptr) {
    ledger_options options;
    options.self = {instance, incarnation};
    options.shards = 2;
    options.sleep = [this](duration pause) { clock.Advance(pause); };
    return std::make_unique<ledger>(
        object_store_override != nullptr ? *object_store_override : store,
        router_override != nullptr ? *router_override : router, clock, registry,
        options, forwarder);
  }
  // Creates a request with a deadline 1000 ms from now.
  reservation_request Request(const std::string& key,
                              const std::string& digest = "d") {
    return {"claims-desk", key, digest, clock.now() + milliseconds(1000)};
  }

  fake_object_store store;
  local_shard_router router;
  manual_clock clock;
  metrics registry;
};

// Creates a response of the target.
inline recorded_response Response(const std::string& body) {
  return {201, {{"Content-Type", "text/plain"}}, body};
}

template <typename T>
bool Is(const reservation_outcome& outcome) {
  return std::holds_alternative<T>(outcome);
}

// Returns the code of a refusal, or kOk for any other outcome.
inline result_code RefusalOf(const reservation_outcome& outcome) {
  const auto* refusal = std::get_if<refused>(&outcome);
  return refusal == nullptr ? result_code::kOk : refusal->code;
}

}  // namespace samphire

#endif  // LEDGER_LEDGER_FIXTURE_H_
