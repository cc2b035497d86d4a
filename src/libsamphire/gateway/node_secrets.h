#ifndef GATEWAY_NODE_SECRETS_H_
#define GATEWAY_NODE_SECRETS_H_

#include <string>

#include "base/result.h"
#include "config/entry_settings.h"
#include "peer/peer_keys.h"

namespace samphire {

// What an entry reads from files of its own, so that it stands in no settings,
// log or status.
struct node_secrets {
  peer_keys keys;
  std::string operator_token;
};

result<node_secrets> LoadSecrets(const entry_settings& settings);

}  // namespace samphire

#endif  // GATEWAY_NODE_SECRETS_H_
