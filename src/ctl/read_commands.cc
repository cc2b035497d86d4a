#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <sstream>

#include "ctl/commands.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

// Spaces of indentation in printed JSON.
constexpr unsigned int kIndent = 2;

std::string Indented(const Object& json) {
  std::ostringstream text;
  json.stringify(text, kIndent);
  return text.str();
}

// Reads `path` and runs `show` on the body of a successful response; reports
// any other outcome as refused.
template <typename F>
exit_code ShowResponse(const command_context& context,
                       const std::string& path,
                       F show) {
  const auto response = context.client.Read({"GET", path, {}, ""});
  if (response.failure || response.outcome.code != result_code::kOk)
    return context.out.Refused(response.outcome, response.body);
  return show(response.body);
}

// Returns the status as text: the fields of the entry, one line for each
// member, then the details as JSON.
std::string StatusText(const Object& body) {
  std::string text;
  for (const auto* name :
       {"instance", "region", "config_version", "config_age_ms"})
    text += fmt::format("{}: {}\n", name, body.optValue<std::string>(name, ""));
  if (const auto members = body.getArray("members")) {
    for (unsigned int i = 0; i < members->size(); ++i) {
      const auto member = members->getObject(i);
      text += fmt::format("member {} {} {} version {}\n",
                          member->optValue<std::string>("name", ""),
                          member->optValue<std::string>("region", ""),
                          member->optValue<std::string>("state", ""),
                          member->optValue<std::string>("config_version", ""));
    }
  }
  if (const auto details = body.getObject("details"))
    text += Indented(*details) + "\n";
  return text;
}

}  // namespace

exit_code ShowStatus(command_context& context) {
  return ShowResponse(context, "/v1/status", [&](const Object::Ptr& body) {
    return context.out.Done(StatusText(*body), body);
  });
}

// In text format, prints only the declaration to standard output, so that it
// can be saved, edited and applied again; its version goes to standard error.
exit_code ShowConfig(command_context& context) {
  return ShowResponse(context, "/v1/config", [&](const Object::Ptr& body) {
    const auto declared = body->getObject("declaration");
    if (context.options.output == output_format::kText) {
      fmt::print(stderr, "version {} by {}, apply id {}\n",
                 body->optValue<std::string>("version", ""),
                 body->optValue<std::string>("operator", ""),
                 body->optValue<std::string>("apply_id", ""));
    }
    return context.out.Done(declared ? Indented(*declared) : "none", body);
  });
}

exit_code ShowHistory(command_context& context) {
  return ShowResponse(
      context, "/v1/config/history", [&](const Object::Ptr& body) {
        return context.out.Table(body, "history",
                                 {"version", "state", "at", "operator",
                                  "witness", "apply_id", "proposal"});
      });
}

exit_code ListDrains(command_context& context) {
  return ShowResponse(context, "/v1/drains", [&](const Object::Ptr& body) {
    return context.out.Table(
        body, "drains", {"name", "scope", "subject", "starts_at", "deadline"});
  });
}

exit_code ListUnresolved(command_context& context) {
  return ShowResponse(
      context, "/v1/ledger/unresolved", [&](const Object::Ptr& body) {
        return context.out.Table(
            body, "records",
            {"service", "key", "state", "holder", "reserved_at"});
      });
}

// Sends the lookup as a caller does: to the caller port and without a token.
exit_code LookUp(command_context& context) {
  const operator_client caller({context.options.caller_url}, "",
                               context.options.timeout);
  ctl_call call{"GET", "/v1/lookup", {}, ""};
  call.parameters["service"] = context.arguments.front();
  if (context.arguments.size() > 1)
    call.parameters["client"] = context.arguments[1];
  const auto response = caller.Read(call);
  if (response.failure || response.outcome.code != result_code::kOk)
    return context.out.Refused(response.outcome, response.body);
  return context.out.Table(response.body, "entries",
                           {"name", "address", "region"});
}

}  // namespace samphire
