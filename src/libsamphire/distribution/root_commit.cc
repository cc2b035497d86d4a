#include "distribution/root_commit.h"

#include "distribution/config_root.h"

namespace samphire {

namespace {

// Determines why a conditional write was refused: either an earlier attempt of
// this change succeeded and its response was lost, or another change was
// accepted first.
result<void> ResolveConflict(object_store& store,
                             const change_predicate& contains_change) {
  BOOST_OUTCOME_TRY(current, store.Get(kConfigRootKey));
  BOOST_OUTCOME_TRY(holds, contains_change(current.value));
  if (holds)
    return Success();
  return MakeError(result_code::kVersionConflict,
                   "another change was accepted first");
}

bool IsTransient(result_code code) {
  return code == result_code::kStoreUnreachable ||
         code == result_code::kStoreOutcomeUnknown;
}

}  // namespace

// The write is conditional, so repeating it resolves a lost response: either it
// takes effect now, or its refusal shows that the root has changed, and then
// the root's history tells whose change that was. Merely reading the root back
// would not suffice: while the root is unchanged, the first write may still be
// in flight and take effect after the operator was told that it had not.
result<void> CommitRoot(object_store& store,
                        const std::string& text,
                        std::uint64_t expected,
                        const change_predicate& contains_change,
                        const publish_options& options,
                        metrics& metrics) {
  bool in_doubt = false;
  for (int n = 0; n < options.attempts; ++n) {
    const auto put = store.Put(kConfigRootKey, text, expected);
    if (put)
      return Success();
    auto why = put.error();
    if (why.code == result_code::kStoreConflict) {
      auto resolved = ResolveConflict(store, contains_change);
      if (resolved || !IsTransient(resolved.error().code))
        return resolved;
      // The root has changed, but who changed it can't be read at the moment.
      in_doubt = true;
      why = resolved.error();
    } else if (!IsTransient(why.code)) {
      return why;
    }
    in_doubt = in_doubt || why.code == result_code::kStoreOutcomeUnknown;
    metrics.CountRetry(why.code);
    options.pause(n);
  }
  return MakeError(in_doubt ? result_code::kApplyOutcomeUnknown
                            : result_code::kStoreUnreachable,
                   "the platform did not respond to any attempt");
}

}  // namespace samphire
