#include <map>

#include "config/declaration_reader.h"
#include "config/file_text.h"
#include "config/json_text.h"
#include "ctl/commands.h"
#include "ctl/submit_change.h"

namespace samphire {

namespace {

// Returns the query parameters that every change carries.
std::map<std::string, std::string> ChangeParameters(
    const command_context& context,
    const change_id& id) {
  return {{"apply_id", id.text}, {"operator", context.options.operator_name}};
}

// Returns the JSON of the drain that the flags describe, without the times that
// were not given.
std::string DrainText(const command_context& context) {
  Poco::JSON::Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  const auto& options = context.options;
  json.set("name", context.arguments.front());
  json.set("scope", options.scope);
  json.set("subject", options.subject);
  if (!options.starts_at.empty())
    json.set("starts_at", options.starts_at);
  if (!options.deadline.empty())
    json.set("deadline", options.deadline);
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

}  // namespace

// The file is not validated locally: an older samphirectl might refuse what a
// newer entry accepts, and only the entry knows which drains are already in
// force.
exit_code ApplyFile(command_context& context) {
  const auto text = ReadFileText(context.arguments.front(), kMaxJsonBytes);
  if (!text)
    return context.out.Refused(text.error());
  const auto id = NewApplyId();
  auto parameters = ChangeParameters(context, id);
  if (context.options.expect)
    parameters["expect"] = std::to_string(*context.options.expect);
  return SubmitChange(
      context, {"POST", "/v1/config/apply", parameters, text.value()}, id);
}

exit_code AddDrain(command_context& context) {
  const auto text = DrainText(context);
  if (const auto read = ReadDrain(text); !read)
    return context.out.Refused(read.error());
  const auto id = NewApplyId();
  return SubmitChange(
      context, {"POST", "/v1/drains", ChangeParameters(context, id), text}, id);
}

exit_code RemoveDrain(command_context& context) {
  const auto id = NewApplyId();
  const auto path = "/v1/drains/" + PathSegment(context.arguments.front());
  return SubmitChange(context,
                      {"DELETE", path, ChangeParameters(context, id), ""}, id);
}

exit_code WitnessProposal(command_context& context) {
  const auto& proposal = context.arguments.front();
  return SubmitChange(context,
                      {"POST",
                       "/v1/witness/" + PathSegment(proposal),
                       {{"operator", context.options.operator_name}},
                       ""},
                      {change_kind::kWitness, proposal});
}

}  // namespace samphire
