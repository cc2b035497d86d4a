#ifndef TRAFFIC_PLACING_PLACEMENT_MESSAGES_H_
#define TRAFFIC_PLACING_PLACEMENT_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/enum_names.h"
#include "routing/attempt_end.h"

namespace samphire {

// Upper bounds on the lengths of strings in these messages.
inline constexpr std::size_t kMaxServiceNameBytes = 255;
inline constexpr std::size_t kMaxRouteNameBytes = 255;
// Bounds names of regions and failure domains.
inline constexpr std::size_t kMaxLocationNameBytes = 64;
inline constexpr std::size_t kMaxTargetIdBytes = 128;
// The maximum numbers of home regions of a route and of targets that a request
// has already tried. A request with more is placed by the entry that received
// it.
inline constexpr std::size_t kMaxHomeRegions = 8;
inline constexpr std::size_t kMaxExcludedTargets = 8;

// Reads or writes up to `kCount` strings of up to `kLength` bytes each. Throws
// cereal::Exception if there are more.
template <std::size_t kCount, std::size_t kLength, typename Archive>
void SerializeNames(Archive& archive, std::vector<std::string>& names) {
  auto count = static_cast<std::uint8_t>(names.size());
  archive(count);
  if (count > kCount)
    throw cereal::Exception("list of names exceeds its maximum length");
  names.resize(count);
  for (auto& name : names)
    archive(Bounded<kLength>(name));
}

// kPlacementRequest: requests a target for one attempt. Answered by
// kPlacementResponse with the same id.
struct remote_placement_request {
  // Unique among the requests of the sending process; also the id of the lease
  // if the attempt is placed.
  std::uint64_t id = 0;
  std::string service;
  std::string route;
  // The failure domain of the requesting entry.
  std::string failure_domain;
  std::uint64_t key_hash = 0;
  std::uint64_t body_bytes = 0;
  // The latency objective of the route.
  std::uint32_t objective_ms = 0;
  // The time until the request's deadline.
  std::uint32_t time_left_ms = 0;
  // Regions whose targets may run the request; any region if empty.
  std::vector<std::string> home_regions;
  // Ids of targets that were already tried.
  std::vector<std::string> excluded;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxServiceNameBytes>(service),
            Bounded<kMaxRouteNameBytes>(route),
            Bounded<kMaxLocationNameBytes>(failure_domain), key_hash,
            body_bytes, objective_ms, time_left_ms);
    SerializeNames<kMaxHomeRegions, kMaxLocationNameBytes>(archive,
                                                           home_regions);
    SerializeNames<kMaxExcludedTargets, kMaxTargetIdBytes>(archive, excluded);
  }
};

enum class remote_placement_verdict : std::uint8_t {
  kPlaced,
  kRefused,
  // The requesting entry must place the attempt itself: the owner has no
  // configuration or targets yet or has reached its maximum number of leases,
  // or the message is large and must stay in the requesting entry's failure
  // domain.
  kPlaceLocally,
};

// kPlacementResponse: the owner's decision on a remote_placement_request.
struct remote_placement_response {
  std::uint64_t id = 0;
  remote_placement_verdict verdict = remote_placement_verdict::kPlaceLocally;
  // The following fields are set if the attempt is placed.
  // The target's id.
  std::string target;
  // 1 if the target has recently handled the key for the owner, else 0.
  std::uint8_t knows_key = 0;
  // Requests running or waiting at the target before this attempt.
  float load_before = 0;
  // Time since the target last reported its load; negative if it never did.
  std::int32_t load_age_ms = -1;
  // The following fields are set if the attempt is refused.
  // A result_code.
  std::uint16_t reason = 0;
  std::uint32_t retry_after_ms = 0;
  // The number of targets considered, and the shortest forecast wait at one of
  // them.
  std::uint32_t candidates = 0;
  std::uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
    SerializeEnum<remote_placement_verdict::kPlaceLocally>(archive, verdict);
    archive(Bounded<kMaxTargetIdBytes>(target), knows_key, load_before,
            load_age_ms, reason, retry_after_ms, candidates, wait_ms);
  }
};

// kPlacementEnd: reports that the attempt placed under this id has ended or was
// never made. Not acknowledged.
struct remote_placement_end {
  std::uint64_t id = 0;
  std::string service;
  attempt_result result = attempt_result::kCallerGone;
  // attempt_end::took in microseconds.
  std::uint64_t took_us = 0;
  // Size of the request's and the response's body; 0 if not known.
  std::uint64_t body_bytes = 0;
  // 1 if the target reported its load, which the following fields then contain.
  std::uint8_t reported = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxServiceNameBytes>(service));
    SerializeEnum<attempt_result::kCallerGone>(archive, result);
    archive(took_us, body_bytes, reported, running, waiting, slots);
  }
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_PLACEMENT_MESSAGES_H_
