#ifndef DISTRIBUTION_ROOT_COMMIT_H_
#define DISTRIBUTION_ROOT_COMMIT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"
#include "distribution/publish_options.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Returns whether the history of the root `text` contains the change, so that
// the change was accepted.
using change_predicate = std::function<result<bool>(const std::string& text)>;

// Writes `text` as the new root if the stored object has the version
// `expected`, and determines the outcome when a response is lost. Blocks for
// the time of its attempts.
//
// kVersionConflict: the change is certainly not in force. kStoreUnreachable: no
// write took effect, so it isn't in force either. kApplyOutcomeUnknown: the
// outcome couldn't be determined. Other errors of the store are returned as
// they are.
result<void> CommitRoot(object_store& store,
                        const std::string& text,
                        std::uint64_t expected,
                        const change_predicate& contains_change,
                        const publish_options& options,
                        metrics& metrics);

}  // namespace samphire

#endif  // DISTRIBUTION_ROOT_COMMIT_H_
