#include "distribution/config_proposal.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include "base/log.h"
#include "config/json_fields.h"
#include "distribution/tree_ref_json.h"
#include "store/store_json.h"

namespace samphire {

namespace {

std::string WriteTexts(const std::vector<std::string>& texts) {
  std::string list;
  for (const auto& text : texts)
    list += (list.empty() ? "" : ",") + JsonQuote(text);
  return '[' + list + ']';
}

}  // namespace

std::string ProposalKey(const std::string& id) {
  return "config/proposal/" + id;
}

std::string WriteProposal(const config_proposal& proposal) {
  return fmt::format(
      R"({{"id":{},"operator":{},"base_version":{},"content":{},"frame":{},)"
      R"("blocks":{},"fresh":{},"touches":{}}})",
      JsonQuote(proposal.id), JsonQuote(proposal.operator_name),
      proposal.base_version, JsonQuote(proposal.content),
      WriteTreeRef(proposal.frame), WriteTreeRef(proposal.blocks),
      WriteTexts(proposal.fresh), WriteTexts(proposal.touches));
}

result<config_proposal> ReadProposal(const std::string& text) {
  try {
    const auto json = ParseObject(text);
    if (!json.isNull()) {
      return config_proposal{json->getValue<std::string>("id"),
                             json->getValue<std::string>("operator"),
                             json->getValue<std::uint64_t>("base_version"),
                             json->getValue<std::string>("content"),
                             ReadTreeRef(*json, "frame"),
                             ReadTreeRef(*json, "blocks"),
                             StringsOf(*json, "fresh"),
                             StringsOf(*json, "touches")};
    }
  } catch (const Poco::Exception&) {
  }
  return MakeError(result_code::kStoreCorrupt, "proposal");
}

}  // namespace samphire
