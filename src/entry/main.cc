#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>

#include "base/log.h"
#include "base/signal_block.h"
#include "config/entry_settings_reader.h"
#include "entry/operator/operator_handler_factory.h"
#include "entry/operator_service.h"
#include "front/front_server.h"
#include "gateway/entry_node.h"

ABSL_FLAG(std::string, settings, "", "the settings file (JSON)");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(std::string,
          log_level,
          "info",
          "the lowest level that is logged: debug, info, warning or error");

namespace {

using samphire::error;
using samphire::result;

// Exit codes: startup refused because of its settings or secrets, or failed;
// and a wrong command line.
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
// Bounds the connections at the operator port. The limit is separate from that
// of the caller port, so that a flood of callers never locks operators out.
constexpr std::uint32_t kMaxOperatorConnections = 32;

constexpr const char* kUsage =
    "serves lookups and requests of callers.\n\n"
    "  samphire-entry --settings=entry-1.json\n"
    "  samphire-entry --settings=entry-1.json --check\n"
    "  samphire-entry --settings=entry-1.json --log_level=debug\n\n"
    "SIGTERM or SIGINT: withdraws from lookups, finishes running requests, "
    "exits 0.";

// Prints why startup is refused and returns the exit code.
int PrintError(const error& why) {
  fmt::print(stderr, "{} {}: {}{}{}\n", static_cast<int>(why.code),
             samphire::NameOf(why.code), why.detail,
             why.pointer.empty() ? "" : " at ", why.pointer);
  return kExitRefused;
}

result<samphire::entry_settings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return samphire::MakeError(samphire::result_code::kFileUnreadable, path);
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return samphire::ReadEntrySettings(text);
}

// Runs the entry until SIGTERM or SIGINT, then drains it. The signals are
// blocked before any thread starts, so that only sigwait receives them; SIGPIPE
// is ignored, so that a closed connection gives an error instead of ending the
// process.
int Run(const samphire::entry_settings& settings,
        samphire::node_secrets secrets) {
  const auto signals = samphire::BlockSignals({SIGTERM, SIGINT});
  std::signal(SIGPIPE, SIG_IGN);
  const auto token = secrets.operator_token;
  samphire::entry_node node(settings, std::move(secrets));
  samphire::operator_service operator_calls(node);
  samphire::front_server operator_port(
      settings.operator_address,
      new samphire::operator_handler_factory(operator_calls, token, {},
                                             node.counters()),
      {.max_connections = kMaxOperatorConnections}, node.counters());
  node.Start();
  operator_port.Start();
  int received = 0;
  sigwait(&signals, &received);
  node.Drain();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  absl::ParseCommandLine(argc, argv);
  const auto level = samphire::ValueOf(samphire::kLogLevelNames,
                                       absl::GetFlag(FLAGS_log_level));
  if (absl::GetFlag(FLAGS_settings).empty() || !level) {
    fmt::print(stderr, "samphire-entry {}\n", kUsage);
    return kExitUsage;
  }
  const auto settings = ReadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings)
    return PrintError(settings.error());
  samphire::ConfigureLog(settings.value().instance, *level);
  auto secrets = samphire::LoadSecrets(settings.value());
  if (!secrets)
    return PrintError(secrets.error());
  if (absl::GetFlag(FLAGS_check))
    return 0;
  try {
    return Run(settings.value(), std::move(secrets.value()));
  } catch (const Poco::Exception& e) {
    samphire::Log(samphire::log_level::kError, "can't-start",
                  {{"detail", e.displayText()}});
  } catch (const std::exception& e) {
    samphire::Log(samphire::log_level::kError, "can't-start",
                  {{"detail", e.what()}});
  }
  return kExitRefused;
}
