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

// Ledgers of several entries over one platform, in simulated time.
struct ledger_fixture {
  std::unique_ptr<ledger> Open(const std::string& instance,
                               std::uint64_t incarnation = 1,
                               object_store* over = nullptr,
                               const shard_router* by = nullptr,
                               operation_forwarder* forwarder = nullptr) {
    ledger_options options;
    options.self = {instance, incarnation};
    options.shards = 2;
    options.sleep = [this](duration pause) { clock.Advance(pause); };
    return std::make_unique<ledger>(over != nullptr ? *over : store,
                                    by != nullptr ? *by : router, clock,
                                    registry, options, forwarder);
  }
  reservation_request Request(const std::string& key,
                              const std::string& digest = "d") {
    return {"claims-desk", key, digest, clock.now() + milliseconds(1000)};
  }

  fake_object_store store;
  local_shard_router router;
  manual_clock clock;
  metrics registry;
};

inline recorded_answer Answer(const std::string& body) {
  return {201, {{"Content-Type", "text/plain"}}, body};
}

template <typename T>
bool Is(const reservation_outcome& outcome) {
  return std::holds_alternative<T>(outcome);
}

inline result_code RefusalOf(const reservation_outcome& outcome) {
  const auto* refusal = std::get_if<refused>(&outcome);
  return refusal == nullptr ? result_code::kOk : refusal->code;
}

}  // namespace samphire

#endif  // LEDGER_LEDGER_FIXTURE_H_
