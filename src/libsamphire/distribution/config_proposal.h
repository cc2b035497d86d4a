#ifndef DISTRIBUTION_CONFIG_PROPOSAL_H_
#define DISTRIBUTION_CONFIG_PROPOSAL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/config_root.h"

namespace samphire {

// A change that waits for a second operator as its witness; stored at
// `config/proposal/ID`.
struct config_proposal {
  // The apply id of the request that proposed the change.
  std::string id;
  // The proposer, who must not be the witness.
  std::string operator_name;
  // The version on which the change was built; if another one is in force, the
  // proposal can't be accepted.
  std::uint64_t base_version = 0;
  // Digest of the declaration, as in config_change.
  std::string content;
  tree_ref frame;
  tree_ref blocks;
  // Refs of the chunks that were written for this proposal alone.
  std::vector<std::string> fresh;
  // The witnessed classes that the change affects, as WitnessedChanges returns
  // them.
  std::vector<std::string> touches;
};

// Object key of the proposal with this id.
std::string ProposalKey(const std::string& id);
std::string WriteProposal(const config_proposal& proposal);
// Returns kStoreCorrupt if `text` isn't a proposal.
result<config_proposal> ReadProposal(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PROPOSAL_H_
