#ifndef CTL_CTL_OPTIONS_H_
#define CTL_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
#include "ctl/output_format.h"

namespace samphire {

// The validated flags of one run of samphirectl.
struct ctl_options {
  output_format output = output_format::kText;
  // The operator ports of the entries, in the order in which they are tried.
  std::vector<std::string> operator_urls;
  // The caller port of one entry, for lookup.
  std::string caller_url;
  // The operator token itself, read from --token_file.
  std::string token;
  std::string operator_name;
  // Limit on each network operation (connect, send, receive) of a call.
  milliseconds timeout{0};
  // How long the history is polled for a change whose response was lost.
  milliseconds settle_timeout{0};
  // The configuration version that must be in force for the change to apply.
  std::optional<std::uint64_t> expect;
  // Whether apply waits until all members have the new version, for at most
  // `wait_limit`.
  bool wait = false;
  milliseconds wait_limit{0};
  std::string service;
  // How a reservation is resolved: done or released.
  std::string as;
  std::string reason;
  // The drain: its scope (target, failure_domain or region), the name of what
  // is drained, and its UTC start and end times.
  std::string scope;
  std::string subject;
  std::string starts_at;
  std::string deadline;
};

// Reads and checks the Abseil flags, and the token from its file. Fails with
// kUsage for a bad value, or with the error of the token file.
result<ctl_options> OptionsFromFlags();

}  // namespace samphire

#endif  // CTL_CTL_OPTIONS_H_
