#include "distribution/root_commit.h"

#include "distribution/config_root.h"

namespace samphire {

namespace {

// What a refused version check means: ours came first and its answer was
// lost, or a rival's did.
result<void> JudgeConflict(object_store& store,
                           const change_finder& holds_change) {
  BOOST_OUTCOME_TRY(present, store.Get(kConfigRootKey));
  BOOST_OUTCOME_TRY(holds, holds_change(present.value));
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

// The write is conditional, so repeating it is what settles a lost answer: it
// takes effect now, or its refusal says that the root has moved on, and then
// the root's history tells whose change moved it. Merely reading back would
// not do: while the root is unchanged, the first write may still be under way
// and take effect after the operator was told that it had not.
result<void> CommitRoot(object_store& store,
                        const std::string& text,
                        std::uint64_t expected,
                        const change_finder& holds_change,
                        const publish_options& options,
                        metrics& metrics) {
  bool in_doubt = false;
  for (int n = 0; n < options.attempts; ++n) {
    const auto put = store.Put(kConfigRootKey, text, expected);
    if (put)
      return Success();
    auto why = put.error();
    if (why.code == result_code::kStoreConflict) {
      auto judged = JudgeConflict(store, holds_change);
      if (judged || !IsTransient(judged.error().code))
        return judged;
      // The root moved, and by whom can't be read at the moment.
      in_doubt = true;
      why = judged.error();
    } else if (!IsTransient(why.code)) {
      return why;
    }
    in_doubt = in_doubt || why.code == result_code::kStoreOutcomeUnknown;
    metrics.CountRetry(why.code);
    options.pause(n);
  }
  return MakeError(in_doubt ? result_code::kApplyOutcomeUnknown
                            : result_code::kStoreUnreachable,
                   "the platform did not answer");
}

}  // namespace samphire
