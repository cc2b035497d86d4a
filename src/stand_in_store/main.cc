#include <Poco/Exception.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "base/log.h"
#include "base/signal_block.h"
#include "base/system_clock_source.h"
#include "store/stand_in_server.h"

ABSL_FLAG(std::string,
          listen,
          "127.0.0.1:0",
          "IP:PORT; port 0 selects a free one");

namespace samphire {
namespace {

// Exit status when the address cannot be bound.
constexpr int kExitUsage = 2;

int Run(const std::string& listen) {
  const auto signals = BlockSignals({SIGINT, SIGTERM});
  ConfigureLog("platform", log_level::kInfo);
  const system_clock_source clock;
  stand_in_objects objects(clock);
  try {
    const stand_in_server server(listen, objects);
    fmt::print("{{\"address\":{}}}\n", JsonQuote(server.address()));
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
  } catch (const Poco::Exception& e) {
    Log(log_level::kError, "listen-failed", {{"detail", e.displayText()}});
    return kExitUsage;
  }
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for the platform: objects, watches, instance list, faults.");
  absl::ParseCommandLine(argc, argv);
  return samphire::Run(absl::GetFlag(FLAGS_listen));
}
