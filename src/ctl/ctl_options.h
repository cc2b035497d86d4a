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

// The flags of one run, checked.
struct ctl_options {
  output_format output = output_format::kText;
  std::vector<std::string> operator_urls;
  std::string caller_url;
  std::string token;
  std::string operator_name;
  milliseconds timeout{0};
  milliseconds settle{0};
  std::optional<std::uint64_t> expect;
  bool wait = false;
  milliseconds wait_limit{0};
  std::string service;
  std::string as;
  std::string reason;
  std::string scope;
  std::string subject;
  std::string starts_at;
  std::string deadline;
};

// Reads the flags, and the token from its file.
result<ctl_options> OptionsFromFlags();

}  // namespace samphire

#endif  // CTL_CTL_OPTIONS_H_
