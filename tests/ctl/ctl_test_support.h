#ifndef CTL_CTL_TEST_SUPPORT_H_
#define CTL_CTL_TEST_SUPPORT_H_

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "ctl/ctl_runner.h"
#include "ctl/operator_server.h"

namespace samphire {

// A valid declaration.
inline constexpr const char* kExample =
    SAMPHIRE_SOURCE_DIR "/examples/consortium.json";

inline bool Contains(const std::string& text, const std::string& part) {
  INFO(text);
  return text.find(part) != std::string::npos;
}

// Returns the result code in the JSON output of a run.
inline int ResultCodeIn(const ctl_run& run) {
  Poco::JSON::Parser parser;
  return parser.parse(run.output)
      .extract<Poco::JSON::Object::Ptr>()
      ->getValue<int>("code");
}

// Returns the proposal id from the advice that a proposed change prints.
inline std::string ProposalIdIn(const ctl_run& run) {
  const std::string command = "samphirectl witness ";
  CHECK(Contains(run.errors, "5003 witness-needed: proposal "));
  const auto start = run.errors.find(command) + command.size();
  return run.errors.substr(start, run.errors.find('\n', start) - start);
}

// Returns how many recorded calls begin with `start`.
inline std::size_t CountCalls(const fake_operator_api& api,
                              const std::string& start) {
  const auto calls = api.calls();
  return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(),
                    [&](const auto& call) { return call.starts_with(start); }));
}

}  // namespace samphire

#endif  // CTL_CTL_TEST_SUPPORT_H_
