// Measures what one version of the configuration costs an entry: the processor
// time, on a whole core, for reading it, for making the patch that followers
// get and for applying that, and the peak memory of reading.
//   bench_configuration_version [--rounds=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/thread_processor_time.h"
#include "manifest_reader.h"
#include "platform_adapter/wire_text.h"
#include "store/value_patch.h"

ABSL_FLAG(int, rounds, 15, "measurements of each figure; the median counts");

namespace samphire::platform {

namespace {

using std::chrono::nanoseconds;

// Returns the median processor time, in milliseconds, of `work` after
// `prepare`.
template <typename Prepare, typename Work>
double Measure(Prepare prepare, Work work) {
  std::vector<nanoseconds> times;
  for (int i = 0; i < absl::GetFlag(FLAGS_rounds); ++i) {
    auto state = prepare();
    const auto start = ThreadProcessorTime();
    work(state);
    times.push_back(ThreadProcessorTime() - start);
  }
  std::ranges::sort(times);
  return std::chrono::duration<double, std::milli>(times[times.size() / 2])
      .count();
}

struct version_change {
  const char* name;
  std::string before;
  std::string after;
};

void Print(const version_change& change, std::size_t routes, bool one_host) {
  const double read = Measure(
      [&] {
        manifest_reader reader;
        if (!reader.Read(change.before))
          std::abort();
        return reader;
      },
      [&](manifest_reader& reader) {
        if (!reader.Read(change.after))
          std::abort();
      });
  const double make =
      Measure([] { return 0; },
              [&](int) {
                if (MakePatch(1, change.before, change.after).bytes.empty())
                  std::abort();
              });
  const auto patch = MakePatch(1, change.before, change.after);
  const double apply = Measure([] { return 0; },
                               [&](int) {
                                 if (!ApplyPatch(patch, change.before))
                                   std::abort();
                               });
  fmt::print(
      "{:5} routes {:9} {:12} {:7} bytes  read {:7.3f} ms  make patch {:7.3f} "
      "ms, {:6} bytes  apply {:6.3f} ms\n",
      routes, one_host ? "one host" : "own hosts", change.name,
      change.after.size(), read, make, patch.bytes.size(), apply);
}

int Run() {
  for (const bool one_host : {false, true}) {
    for (const std::size_t routes : {300, 1700, 4100}) {
      const auto make = [&](std::uint64_t version, std::size_t count,
                            std::size_t changed) {
        return CrowdedManifestObject({.version = version,
                                      .routes = count,
                                      .changed_routes = changed,
                                      .one_host = one_host});
      };
      const auto before = make(1, routes, 0);
      Print({"one changed", before, make(2, routes, 1)}, routes, one_host);
      Print({"all changed", before, make(2, routes, routes)}, routes, one_host);
      Print({"300 before", make(1, 300, 0), make(2, routes, 1)}, routes,
            one_host);
    }
  }
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  fmt::print("peak memory {} kB\n", usage.ru_maxrss);
  return 0;
}

}  // namespace

}  // namespace samphire::platform

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::platform::Run();
}
