#ifndef LEDGER_SHARD_JUDGE_H_
#define LEDGER_SHARD_JUDGE_H_

#include "ledger/ledger_shard.h"

namespace samphire {

// The visitor that judges one operation on a shard and changes the shard.
class shard_judge {
 public:
  using judgement = ledger_shard::judgement;

  shard_judge(ledger_shard& shard, const judge_context& context)
      : shard_(shard), context_(context) {}

  judgement operator()(const reserve_operation& operation);
  judgement operator()(const complete_operation& operation);
  judgement operator()(const release_operation& operation);
  judgement operator()(const mark_unknown_operation& operation);
  judgement operator()(const resolve_operation& operation);

 private:
  ledger_entry* Find(const std::string& service, const std::string& key);
  judgement JudgeRepeat(const ledger_entry& entry,
                        const reserve_operation& operation) const;
  judgement InsertReserved(const reservation_ticket& ticket);
  judgement Settle(const reservation_ticket& ticket, reservation_state state);
  void SetState(ledger_entry& entry, reservation_state state);

  ledger_shard& shard_;
  const judge_context& context_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_JUDGE_H_
