#include "ctl/ctl_options.h"

#include <absl/flags/flag.h>

#include <charconv>
#include <string_view>

#include "config/file_text.h"

ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string,
          operator_url,
          "",
          "operator ports, such as http://127.0.1.1:8001, comma separated; "
          "tried in turn");
ABSL_FLAG(std::string, caller_url, "", "a caller port, for lookup");
ABSL_FLAG(std::string, token_file, "", "file that holds the operator token");
ABSL_FLAG(std::string, operator, "", "your name, recorded in the history");
ABSL_FLAG(std::int64_t,
          timeout_ms,
          10000,
          "limit on each network operation of a call");
ABSL_FLAG(
    std::int64_t,
    settle_ms,
    5000,
    "how long to search the history for an apply whose response was lost");
ABSL_FLAG(std::string,
          expect,
          "",
          "apply only if this configuration version is in force");
ABSL_FLAG(bool, wait, false, "wait until all members have the new version");
ABSL_FLAG(std::int64_t, wait_ms, 15000, "limit on the time that --wait waits");
ABSL_FLAG(std::string, service, "", "the service of a ledger key");
ABSL_FLAG(std::string, as, "", "done or released");
ABSL_FLAG(std::string, reason, "", "why a reservation is resolved this way");
ABSL_FLAG(std::string, scope, "", "target, failure_domain or region");
ABSL_FLAG(std::string,
          subject,
          "",
          "name of the target, failure domain or region to drain");
ABSL_FLAG(std::string, starts_at, "", "UTC, such as 2026-12-02T08:30:00Z");
ABSL_FLAG(std::string, deadline, "", "UTC, such as 2026-12-02T09:30:00Z");

namespace samphire {

namespace {

// Bounds the size of the token file.
constexpr std::size_t kMaxTokenBytes = 4096;

error Usage(const std::string& detail) {
  return MakeError(result_code::kUsage, detail);
}

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    if (comma != 0)
      parts.emplace_back(text.substr(0, comma));
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  return parts;
}

// Reads the token without trailing white space. An empty path gives an empty
// token, since some commands need none.
result<std::string> ReadToken(const std::string& path) {
  if (path.empty())
    return std::string();
  BOOST_OUTCOME_TRY(text, ReadFileText(path, kMaxTokenBytes));
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  if (text.empty())
    return MakeError(result_code::kFileEmpty, path);
  return text;
}

result<std::optional<std::uint64_t>> ParseVersion(const std::string& text) {
  if (text.empty())
    return std::optional<std::uint64_t>();
  std::uint64_t version = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), version);
  if (failure != std::errc() || end != text.data() + text.size())
    return Usage("--expect is not a version number: " + text);
  return std::optional(version);
}

// Checks a time limit given in milliseconds.
result<milliseconds> ParseTimeLimit(std::int64_t count, const char* flag) {
  // One hour.
  constexpr std::int64_t kMaxLimitMs = 3'600'000;
  if (count < 1 || count > kMaxLimitMs)
    return Usage(std::string(flag) +
                 " is out of range: must be from 1 to 3600000");
  return milliseconds(count);
}

}  // namespace

result<ctl_options> OptionsFromFlags() {
  ctl_options options;
  const auto output = ValueOf(kOutputFormatNames, absl::GetFlag(FLAGS_output));
  if (!output)
    return Usage("--output must be text or json");
  options.output = *output;
  options.operator_urls = SplitAtCommas(absl::GetFlag(FLAGS_operator_url));
  options.caller_url = absl::GetFlag(FLAGS_caller_url);
  options.operator_name = absl::GetFlag(FLAGS_operator);
  BOOST_OUTCOME_TRY(token, ReadToken(absl::GetFlag(FLAGS_token_file)));
  options.token = token;
  BOOST_OUTCOME_TRY(
      timeout, ParseTimeLimit(absl::GetFlag(FLAGS_timeout_ms), "--timeout_ms"));
  options.timeout = timeout;
  BOOST_OUTCOME_TRY(
      settle_timeout,
      ParseTimeLimit(absl::GetFlag(FLAGS_settle_ms), "--settle_ms"));
  options.settle_timeout = settle_timeout;
  BOOST_OUTCOME_TRY(wait_limit,
                    ParseTimeLimit(absl::GetFlag(FLAGS_wait_ms), "--wait_ms"));
  options.wait_limit = wait_limit;
  BOOST_OUTCOME_TRY(expect, ParseVersion(absl::GetFlag(FLAGS_expect)));
  options.expect = expect;
  options.wait = absl::GetFlag(FLAGS_wait);
  options.service = absl::GetFlag(FLAGS_service);
  options.as = absl::GetFlag(FLAGS_as);
  options.reason = absl::GetFlag(FLAGS_reason);
  options.scope = absl::GetFlag(FLAGS_scope);
  options.subject = absl::GetFlag(FLAGS_subject);
  options.starts_at = absl::GetFlag(FLAGS_starts_at);
  options.deadline = absl::GetFlag(FLAGS_deadline);
  return options;
}

}  // namespace samphire
