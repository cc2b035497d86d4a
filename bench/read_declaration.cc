// Time and peak memory of reading a declaration at four numbers of client
// blocks, with straight-line fits, then of refusing a file whose blocks are
// all faulty. Fails when a block costs more memory than its bound, or when the
// faulty file costs more than the sound one of the same length.
//   bench_read_declaration --example=examples/consortium.json
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "config/declaration_reader.h"
#include "config/declaration_writer.h"
#include "config/file_text.h"
#include "config/json_text.h"
#include "line_fit.h"

ABSL_FLAG(std::string,
          example,
          "examples/consortium.json",
          "the declaration that blocks are added to");

namespace samphire {

namespace {

constexpr std::uint32_t kMostBlocks = 40'000;
constexpr double kMaxBytesPerBlock = 2048;

double PeakBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * 1024;
}

declaration WithBlocks(declaration declared, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    client_block block;
    block.address = {0x20,
                     1,
                     static_cast<std::uint8_t>(i >> 16),
                     static_cast<std::uint8_t>(i >> 8),
                     static_cast<std::uint8_t>(i),
                     1};
    block.prefix_length = 48;
    block.region = declared.default_region;
    declared.client_blocks.push_back(block);
  }
  return declared;
}

// Negative for a verdict that is not the expected one.
double SecondsToRead(const std::string& text, bool sound) {
  const auto start = std::chrono::steady_clock::now();
  const auto read = ReadAcceptedDeclaration(text);
  const auto taken = std::chrono::steady_clock::now() - start;
  if (read.has_value() != sound) {
    fmt::print("unexpected verdict on the file\n");
    return -1;
  }
  return std::chrono::duration<double>(taken).count();
}

std::string WithoutRegions(const std::string& text) {
  const std::string field = R"(,"region":)";
  const auto from = text.find("client_blocks");
  const auto to = text.find("services");
  std::string kept = text.substr(0, from);
  for (std::size_t at = from; at < to;) {
    const auto found = std::min(text.find(field, at), to);
    kept += text.substr(at, found - at);
    at = found == to ? to : text.find('}', found);
  }
  return kept + text.substr(to);
}

bool Run() {
  const auto example =
      ReadFileText(absl::GetFlag(FLAGS_example), kMaxJsonBytes);
  if (!example) {
    fmt::print("can't read {}\n", absl::GetFlag(FLAGS_example));
    return false;
  }
  const auto declared = ReadAcceptedDeclaration(example.value()).value();
  std::vector<std::pair<double, double>> times;
  std::vector<std::pair<double, double>> peaks;
  std::string largest;
  for (const auto divisor : {8U, 4U, 2U, 1U}) {
    const auto blocks = kMostBlocks / divisor;
    largest = WriteDeclaration(WithBlocks(declared, blocks));
    times.emplace_back(blocks, SecondsToRead(largest, true));
    peaks.emplace_back(blocks, PeakBytes());
    fmt::print(
        "blocks {:>6}  text {:>8} bytes  read {:.3f} s  peak {:.1f} MB\n",
        blocks, largest.size(), times.back().second, peaks.back().second / 1e6);
  }
  const double sound_peak = PeakBytes();
  const double faulty_seconds = SecondsToRead(WithoutRegions(largest), false);
  fmt::print("every block faulty: refused in {:.3f} s, peak {:.1f} MB\n",
             faulty_seconds, PeakBytes() / 1e6);
  const line_fit time = FitLine(times);
  const line_fit peak = FitLine(peaks);
  fmt::print("fit: read = {:.3f} s + {:.1f} us a block\n", time.start,
             time.slope * 1e6);
  fmt::print("fit: peak = {:.1f} MB + {:.0f} bytes a block\n", peak.start / 1e6,
             peak.slope);
  // A tenth on top for what the allocator keeps from the runs before.
  return faulty_seconds >= 0 && times.back().second >= 0 &&
         peak.slope < kMaxBytesPerBlock && PeakBytes() < 1.1 * sound_peak;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures reading a declaration.");
  absl::ParseCommandLine(argc, argv);
  return samphire::Run() ? 0 : 1;
}
