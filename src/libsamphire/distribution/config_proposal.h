#ifndef DISTRIBUTION_CONFIG_PROPOSAL_H_
#define DISTRIBUTION_CONFIG_PROPOSAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/config_root.h"

namespace samphire {

// A change that waits for a second operator, at `config/proposal/ID`.
struct config_proposal {
  // The apply id.
  std::string id;
  std::string operator_name;
  // The version that it changes; on any other it can't be accepted.
  std::uint64_t base_version = 0;
  std::string content;
  tree_ref frame;
  tree_ref blocks;
  // Refs of the chunks written for it alone.
  std::vector<std::string> fresh;
  // The witnessed classes that it touches.
  std::vector<std::string> touches;
};

std::string ProposalKey(const std::string& id);
std::string WriteProposal(const config_proposal& proposal);
result<config_proposal> ReadProposal(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PROPOSAL_H_
