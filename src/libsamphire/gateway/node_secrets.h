#ifndef GATEWAY_NODE_SECRETS_H_
#define GATEWAY_NODE_SECRETS_H_

#include <string>

#include "base/result.h"
#include "config/entry_settings.h"
#include "peer/peer_keys.h"

namespace samphire {

// Secrets that an entry reads from separate files, so that they appear in no
// settings, log or status.
struct node_secrets {
  peer_keys keys;
  // Token that operators' calls must carry; never empty.
  std::string operator_token;
};

// Reads the files that the settings name. Returns kFileUnreadable if the
// operator token can't be read or is empty, or the error of peer_keys::Load.
result<node_secrets> LoadSecrets(const entry_settings& settings);

}  // namespace samphire

#endif  // GATEWAY_NODE_SECRETS_H_
