#include "gateway/node_secrets.h"

#include <Poco/String.h>

#include <fstream>
#include <iterator>

namespace samphire {

result<node_secrets> LoadSecrets(const entry_settings& settings) {
  BOOST_OUTCOME_TRY(keys, peer_keys::Load(settings.peer_key_file));
  std::ifstream file(settings.operator_token_file);
  const std::string token((std::istreambuf_iterator<char>(file)),
                          std::istreambuf_iterator<char>());
  auto trimmed = Poco::trim(token);
  if (trimmed.empty()) {
    return MakeError(result_code::kFileUnreadable,
                     "operator token file is unreadable or empty: " +
                         settings.operator_token_file);
  }
  return node_secrets{std::move(keys), std::move(trimmed)};
}

}  // namespace samphire
