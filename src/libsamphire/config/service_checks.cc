#include "config/service_checks.h"

#include <fmt/format.h>

#include "config/class_matcher.h"
#include "config/ip_address.h"
#include "config/unique_names.h"

namespace samphire {

namespace {

// Every class needs a deadline: a request without one could occupy a slot
// indefinitely, and its caller could never be told that it has expired.
result<void> CheckDeadline(const request_class& declared,
                           const std::string& pointer) {
  if (declared.deadline <= milliseconds(0))
    return MakeError(result_code::kMissingDeadline, declared.name, pointer);
  if (declared.max_deadline < declared.deadline) {
    return MakeError(result_code::kValueOutOfRange,
                     "max_deadline_ms is less than deadline_ms",
                     pointer + "/max_deadline_ms");
  }
  return Success();
}

result<void> CheckPath(const request_class& declared,
                       const std::string& pointer) {
  if (IsClassPath(declared.path))
    return Success();
  return MakeError(result_code::kSchemaViolation,
                   "a path must not contain empty, \".\" or \"..\" segments, "
                   "and \"**\" only at its end",
                   pointer + "/path");
}

// The most specific class is used for a request, so two classes are ambiguous
// only if their methods and paths are both equal.
result<void> CheckClasses(const service& declared, const std::string& pointer) {
  unique_names names;
  std::set<std::pair<std::string, std::string>> matches;
  for (std::size_t i = 0; i < declared.classes.size(); ++i) {
    const auto& one = declared.classes[i];
    const auto at = fmt::format("{}/classes/{}", pointer, i);
    BOOST_OUTCOME_TRYV(names.Add(one.name, at + "/name"));
    BOOST_OUTCOME_TRYV(CheckPath(one, at));
    BOOST_OUTCOME_TRYV(CheckDeadline(one, at));
    if (!matches.emplace(one.method, one.path).second) {
      return MakeError(result_code::kAmbiguousClass,
                       one.method + " " + one.path, at + "/path");
    }
  }
  return Success();
}

// Addresses must be unique: a target listed twice would be assigned twice as
// many requests as it has slots.
result<void> CheckTargets(const service& declared,
                          const declaration_names& names,
                          const std::string& pointer) {
  if (declared.targets.empty()) {
    return MakeError(result_code::kServiceWithoutTargets, declared.name,
                     pointer + "/targets");
  }
  unique_names target_names;
  unique_names addresses;
  for (std::size_t i = 0; i < declared.targets.size(); ++i) {
    const auto& one = declared.targets[i];
    const auto at = fmt::format("{}/targets/{}", pointer, i);
    BOOST_OUTCOME_TRYV(target_names.Add(one.name, at + "/name"));
    if (!IsSocketAddress(one.address))
      return MakeError(result_code::kBadAddress, one.address, at + "/address");
    BOOST_OUTCOME_TRYV(addresses.Add(one.address, at + "/address"));
    if (!names.failure_domains.contains(one.failure_domain)) {
      return MakeError(result_code::kUnknownFailureDomain, one.failure_domain,
                       at + "/failure_domain");
    }
  }
  return Success();
}

}  // namespace

result<void> CheckServices(const declaration& declared,
                           const declaration_names& names) {
  unique_names service_names;
  for (std::size_t i = 0; i < declared.services.size(); ++i) {
    const auto& one = declared.services[i];
    const auto pointer = fmt::format("/services/{}", i);
    BOOST_OUTCOME_TRYV(service_names.Add(one.name, pointer + "/name"));
    BOOST_OUTCOME_TRYV(CheckClasses(one, pointer));
    BOOST_OUTCOME_TRYV(CheckTargets(one, names, pointer));
  }
  return Success();
}

}  // namespace samphire
