#include "config/declaration_checker.h"
#include "distribution/config_publisher.h"
#include "distribution/declaration_lines.h"

namespace samphire {

namespace {

// Bounds how often a drain is retried on a newer version. Two operators who
// declare drains at the same moment both intend theirs, and the drains are
// independent. More conflicts than this in a row indicate a runaway script.
constexpr int kMaxEditAttempts = 5;

}  // namespace

result<apply_receipt> config_publisher::AddDrain(const drain& added,
                                                 const apply_request& request) {
  return EditFrame(request, [&](declaration& frame) -> result<void> {
    std::erase_if(frame.drains,
                  [&](const drain& one) { return one.name == added.name; });
    frame.drains.push_back(added);
    return Success();
  });
}

result<apply_receipt> config_publisher::RemoveDrain(
    const std::string& name,
    const apply_request& request) {
  return EditFrame(request, [&](declaration& frame) -> result<void> {
    const auto removed = std::erase_if(
        frame.drains, [&](const drain& one) { return one.name == name; });
    if (removed == 0)
      return MakeError(result_code::kUnknownDrain, name);
    return Success();
  });
}

result<apply_receipt> config_publisher::EditFrame(const apply_request& request,
                                                  const frame_edit& edit) {
  std::lock_guard guard(change_mutex_);
  for (int n = 0;; ++n) {
    BOOST_OUTCOME_TRY(from, ReadBase());
    if (!from.image)
      return MakeError(result_code::kNoConfiguration);
    // A retry must not fail because the first attempt already made the change.
    if (const auto done = FindChange(from.image, request.apply_id))
      return apply_receipt{done->version};
    auto wanted = from.image->frame();
    BOOST_OUTCOME_TRYV(edit(wanted));
    BOOST_OUTCOME_TRYV(CheckDeclaration(wanted));
    BOOST_OUTCOME_TRYV(
        CheckNewDrains(wanted, clock_.wall_now(), &from.image->frame()));
    auto changed =
        ApplyLines(from, wanted, {FrameLines(wanted), std::nullopt}, request);
    const bool conflict =
        !changed && changed.error().code == result_code::kVersionConflict;
    if (!conflict || request.expect || n + 1 >= kMaxEditAttempts)
      return changed;
    metrics_.CountRetry(result_code::kVersionConflict);
  }
}

}  // namespace samphire
