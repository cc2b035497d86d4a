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

// The calls by which entries get the configuration and the instance list from
// each other, over TCP. The type after each arrow is that of the response.

// Asks which configuration the peer has. -> peer_config
struct config_status_request {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

// Asks for the update from the sender's version to the peer's. -> config_update
struct config_update_request {
  std::uint64_t have_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(have_version);
  }
};

// Asks for the texts of these chunks, in this order.
// -> std::vector<std::string>
struct chunk_request {
  // Bounds the references in one request; a message with more is malformed.
  static constexpr std::size_t kMaxRefs = 4096;
  std::vector<std::string> refs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxRefs>(refs));
  }
};

// Asks for the platform's instance list unless its digest is `known`.
// -> std::optional<instance_list>
struct instance_list_request {
  std::string known;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<255>(known));
  }
};

// The order of the alternatives is part of the encoding.
using peer_call = std::variant<config_status_request,
                               config_update_request,
                               chunk_request,
                               instance_list_request>;

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
