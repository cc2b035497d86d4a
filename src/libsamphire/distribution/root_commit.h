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

// Whether the root `text` is of a history that holds the change, so that the
// change was accepted.
using change_finder = std::function<result<bool>(const std::string& text)>;

// Writes `text` as the new root where the object has the version `expected`,
// and finds out what came of it when an answer is lost. kVersionConflict: it
// is surely not in force. kStoreUnreachable: it was surely never sent.
// kApplyOutcomeUnknown: it could not be found out.
result<void> CommitRoot(object_store& store,
                        const std::string& text,
                        std::uint64_t expected,
                        const change_finder& holds_change,
                        const publish_options& options,
                        metrics& metrics);

}  // namespace samphire

#endif  // DISTRIBUTION_ROOT_COMMIT_H_
