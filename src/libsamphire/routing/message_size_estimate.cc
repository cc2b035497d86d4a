#include "routing/message_size_estimate.h"

#include <algorithm>

namespace samphire {

namespace {

// From this size on, a request and its response justify a separate target for
// the key in each failure domain. The threshold lies between readings and
// receipts, with some 5 to 10 kB, and uploads and exports, with 50 kB and more.
constexpr double kLargeMessageBytes = 16'384;
// The weight of one sample. Sizes on one route vary by a factor of two, so some
// twenty samples determine the mean.
constexpr double kSampleWeight = 0.05;

}  // namespace

void message_size_estimate::AddSample(std::uint64_t bytes) {
  const auto sample = static_cast<double>(bytes);
  bytes_ = bytes_ == 0 ? sample : bytes_ + (sample - bytes_) * kSampleWeight;
}

// Takes the request's size into account because it is known before the first
// response. Uploads thus stay in their failure domain from the start, and their
// keys are not first loaded by targets in other domains.
bool message_size_estimate::IsLarge(std::uint64_t request_bytes) const {
  return std::max(bytes_, static_cast<double>(request_bytes)) >=
         kLargeMessageBytes;
}

}  // namespace samphire
