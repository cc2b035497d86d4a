#ifndef GATEWAY_PEER_CALL_H_
#define GATEWAY_PEER_CALL_H_

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/bounded_codec.h"
#include "distribution/config_update.h"
#include "distribution/instance_list.h"
#include "distribution/peer_config.h"
#include "store/instance_info.h"

namespace samphire {

// The calls by which entries bring each other up to date, over TCP. Each is
// answered with the value named beside it.

// What do you have? -> peer_config
struct config_ask {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

// Bring me from this version to yours. -> config_update
struct config_pull {
  std::uint64_t have_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(have_version);
  }
};

// The texts of these chunks. -> std::vector<std::string>
struct chunk_ask {
  static constexpr std::size_t kMaxRefs = 4096;
  std::vector<std::string> refs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxRefs>(refs));
  }
};

// The platform's instance list, if it is not the one I know.
// -> std::optional<instance_list>
struct instances_ask {
  std::string known;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<255>(known));
  }
};

using peer_call =
    std::variant<config_ask, config_pull, chunk_ask, instances_ask>;

template <typename Archive>
void serialize(Archive& archive, peer_config& config) {
  std::int64_t age = config.confirmed_age.count();
  archive(config.version, config.digest, age);
  config.confirmed_age = milliseconds(age);
}

template <typename Archive>
void serialize(Archive& archive, instance_info& instance) {
  archive(instance.name, instance.role, instance.address, instance.region,
          instance.failure_domain);
  SerializeEnum<instance_state::kGone>(archive, instance.state);
}

template <typename Archive>
void serialize(Archive& archive, instance_list& list) {
  archive(list.instances, list.digest);
}

}  // namespace samphire

#endif  // GATEWAY_PEER_CALL_H_
