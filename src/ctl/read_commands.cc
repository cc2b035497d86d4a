#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <sstream>

#include "ctl/commands.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

constexpr unsigned int kIndent = 2;

std::string Indented(const Object& json) {
  std::ostringstream text;
  json.stringify(text, kIndent);
  return text.str();
}

// Runs `show` on the body of a good answer.
template <typename F>
exit_code Shown(const command_context& context,
                const std::string& path,
                F show) {
  const auto answer = context.client.Read({"GET", path, {}, ""});
  if (answer.failure || answer.outcome.code != result_code::kOk)
    return context.out.Refused(answer.outcome, answer.body);
  return show(answer.body);
}

// Every field, the members as a table of their own.
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
  return Shown(context, "/v1/status", [&](const Object::Ptr& body) {
    return context.out.Done(StatusText(*body), body);
  });
}

// As text, the declaration alone, so that it can be kept, changed and applied;
// which version it is goes to standard error.
exit_code ShowConfig(command_context& context) {
  return Shown(context, "/v1/config", [&](const Object::Ptr& body) {
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
  return Shown(context, "/v1/config/history", [&](const Object::Ptr& body) {
    return context.out.Table(body, "history",
                             {"version", "state", "at", "operator", "witness",
                              "apply_id", "proposal"});
  });
}

exit_code ListDrains(command_context& context) {
  return Shown(context, "/v1/drains", [&](const Object::Ptr& body) {
    return context.out.Table(
        body, "drains", {"name", "scope", "subject", "starts_at", "deadline"});
  });
}

exit_code ListUnresolved(command_context& context) {
  return Shown(context, "/v1/ledger/unresolved", [&](const Object::Ptr& body) {
    return context.out.Table(
        body, "records", {"service", "key", "state", "holder", "reserved_at"});
  });
}

// Asked as a caller asks, at the caller port and without a token.
exit_code LookUp(command_context& context) {
  const operator_client caller({context.options.caller_url}, "",
                               context.options.timeout);
  ctl_call call{"GET", "/v1/lookup", {}, ""};
  call.parameters["service"] = context.words.front();
  if (context.words.size() > 1)
    call.parameters["client"] = context.words[1];
  const auto answer = caller.Read(call);
  if (answer.failure || answer.outcome.code != result_code::kOk)
    return context.out.Refused(answer.outcome, answer.body);
  return context.out.Table(answer.body, "entries",
                           {"name", "address", "region"});
}

}  // namespace samphire
