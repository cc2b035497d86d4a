#include "routing/message_size_estimate.h"

#include <algorithm>

namespace samphire {

namespace {

// An exchange of this size is worth a target of its own in each failure domain.
// It lies between readings and receipts, with some 5 to 10 kB, and uploads and
// exports, with 50 kB and more.
constexpr double kLargeBytes = 16'384;
// One exchange moves the estimate by this share: sizes of one route vary by a
// factor of two, and some twenty of them tell the mean.
constexpr double kWeight = 0.05;

}  // namespace

void message_size_estimate::Learn(std::uint64_t bytes) {
  const auto sample = static_cast<double>(bytes);
  bytes_ = bytes_ == 0 ? sample : bytes_ + (sample - bytes_) * kWeight;
}

// The size of the request is known before the first answer, so uploads go to
// their domain's targets from the start and no key is learned in vain.
bool message_size_estimate::IsLarge(std::uint64_t request_bytes) const {
  return std::max(bytes_, static_cast<double>(request_bytes)) >= kLargeBytes;
}

}  // namespace samphire
