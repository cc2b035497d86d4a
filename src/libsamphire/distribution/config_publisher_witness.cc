#include <utility>

#include "base/log.h"
#include "config/wall_time_text.h"
#include "distribution/config_publisher.h"

namespace samphire {

result<apply_receipt> config_publisher::Propose(
    const base& from,
    const built_change& built,
    const std::string& content,
    std::vector<std::string> touches,
    const apply_request& request) {
  config_proposal proposal{request.apply_id,
                           request.operator_name,
                           from.version(),
                           content,
                           built.root.frame,
                           built.root.blocks,
                           {},
                           std::move(touches)};
  const auto key = ProposalKey(proposal.id);
  const auto current = store_.Get(key);
  if (current) {
    BOOST_OUTCOME_TRY(earlier, ReadProposal(current.value().value));
    if (earlier.content == content && earlier.base_version == from.version())
      return MakeError(result_code::kWitnessNeeded, proposal.id);
    return MakeError(result_code::kVersionConflict,
                     "the apply id was already used for a different proposal");
  }
  for (const auto& chunk : built.new_chunks) {
    proposal.fresh.push_back(chunk->ref);
    BOOST_OUTCOME_TRYV(chunks_.Write(*chunk));
  }
  const auto put = store_.Put(key, WriteProposal(proposal), 0);
  if (!put)
    return put.error();
  Log(log_level::kInfo, "config-proposed",
      {{"id", proposal.id}, {"operator", proposal.operator_name}});
  metrics_.Count("config_proposals_total");
  return MakeError(result_code::kWitnessNeeded, proposal.id);
}

result<apply_receipt> config_publisher::Witness(
    const std::string& id,
    const std::string& operator_name) {
  std::lock_guard guard(change_mutex_);
  BOOST_OUTCOME_TRY(from, ReadBase());
  // The proposal was accepted before, and the response to the witness was lost.
  if (const auto done = FindChange(from.image, id)) {
    DeleteProposal(id);
    return apply_receipt{done->version};
  }
  const auto object = store_.Get(ProposalKey(id));
  if (!object && object.error().code == result_code::kStoreNotFound)
    return MakeError(result_code::kUnknownProposal, id);
  if (!object)
    return object.error();
  BOOST_OUTCOME_TRY(proposal, ReadProposal(object.value().value));
  if (proposal.operator_name == operator_name)
    return MakeError(result_code::kWitnessIsProposer, operator_name);
  return AcceptProposal(from, proposal, operator_name);
}

// The witness reviewed the change against the version on which it was built.
// Applied to a newer version it would undo the changes in between, which nobody
// has reviewed.
result<apply_receipt> config_publisher::AcceptProposal(
    const base& from,
    const config_proposal& proposal,
    const std::string& witness) {
  if (proposal.base_version != from.version()) {
    DeleteProposal(proposal.id);
    static_cast<void>(chunks_.Remove(proposal.fresh));
    return VersionConflict(from);
  }
  built_change built;
  built.root.frame = proposal.frame;
  built.root.blocks = proposal.blocks;
  BOOST_OUTCOME_TRY(texts, chunks_.Fetch(proposal.fresh));
  for (std::size_t i = 0; i < texts.size(); ++i) {
    built.proposed_chunks.emplace_back(
        new config_chunk(proposal.fresh[i], std::move(texts[i])));
  }
  auto accepted =
      Commit(from, std::move(built),
             {from.version() + 1, proposal.id, proposal.operator_name, witness,
              FormatWallTime(clock_.wall_now()), proposal.content, ""});
  if (accepted)
    DeleteProposal(proposal.id);
  return accepted;
}

result<std::vector<config_proposal>> config_publisher::Proposals() {
  BOOST_OUTCOME_TRY(objects, store_.List(ProposalKey("")));
  std::vector<config_proposal> proposals;
  for (const auto& object : objects) {
    BOOST_OUTCOME_TRY(proposal, ReadProposal(object.value));
    proposals.push_back(std::move(proposal));
  }
  return proposals;
}

// Errors are ignored: at worst the proposal is left behind, and a proposal
// built on an older version is refused anyway.
void config_publisher::DeleteProposal(const std::string& id) {
  const auto key = ProposalKey(id);
  if (const auto object = store_.Get(key))
    static_cast<void>(store_.Delete(key, object.value().version));
}

}  // namespace samphire
