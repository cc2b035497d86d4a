#ifndef LEDGER_OPERATION_APPLIER_H_
#define LEDGER_OPERATION_APPLIER_H_

#include "ledger/ledger_shard.h"

namespace samphire {

// Visitor that applies one operation to a shard and decides its outcome. Used
// by ledger_shard::Apply; not synchronized.
class operation_applier {
 public:
  using apply_result = ledger_shard::apply_result;

  operation_applier(ledger_shard& shard, const apply_context& context)
      : shard_(shard), context_(context) {}

  apply_result operator()(const reserve_operation& operation);
  apply_result operator()(const complete_operation& operation);
  apply_result operator()(const release_operation& operation);
  apply_result operator()(const mark_unknown_operation& operation);
  apply_result operator()(const resolve_operation& operation);

 private:
  // Returns the entry of a key, or null.
  ledger_entry* Find(const std::string& service, const std::string& key);
  // Decides the outcome of a reservation whose key is already in use.
  apply_result ApplyRepeat(const ledger_entry& entry,
                           const reserve_operation& operation) const;
  // Adds a reservation, replacing a released one, if the shard has space.
  apply_result InsertReserved(const reservation_ticket& ticket);
  // Moves the ticket's own reservation from kReserved to `state`. Does nothing
  // if it is settled already or the key belongs to another reservation.
  apply_result Settle(const reservation_ticket& ticket,
                      reservation_state state);
  void SetState(ledger_entry& entry, reservation_state state);

  ledger_shard& shard_;
  const apply_context& context_;
};

}  // namespace samphire

#endif  // LEDGER_OPERATION_APPLIER_H_
