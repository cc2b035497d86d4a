// Measures the time and peak memory of reading a declaration with four
// different numbers of client blocks, and fits a line to each. Then measures
// the rejection of a file in which every block is invalid. Exits with an error
// if the memory per block exceeds its bound, or if the invalid file needs more
// memory than a valid one with the same number of blocks.
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
          "the declaration to which client blocks are added");

namespace samphire {

namespace {

// The largest number of client blocks that are added to the example.
constexpr std::uint32_t kMaxBlocks = 40'000;
// Bound on the growth of peak memory per client block.
constexpr double kMaxBytesPerBlock = 2048;

// Returns the peak resident set size of this process.
double PeakBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * 1024;
}

// Adds `count` IPv6 /48 blocks that do not overlap each other.
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

// Returns the time taken to read `text`, or a negative value if the text was
// accepted although `valid` is false, or rejected although it is true.
double SecondsToRead(const std::string& text, bool valid) {
  const auto start = std::chrono::steady_clock::now();
  const auto read = ReadAcceptedDeclaration(text);
  const auto taken = std::chrono::steady_clock::now() - start;
  if (read.has_value() != valid) {
    fmt::print(
        "declaration was accepted or rejected contrary to expectation\n");
    return -1;
  }
  return std::chrono::duration<double>(taken).count();
}

// Removes the required field `region` from every client block.
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
    fmt::print("cannot read the declaration {}\n",
               absl::GetFlag(FLAGS_example));
    return false;
  }
  const auto declared = ReadAcceptedDeclaration(example.value()).value();
  std::vector<std::pair<double, double>> times;
  std::vector<std::pair<double, double>> peaks;
  std::string largest;
  for (const auto divisor : {8U, 4U, 2U, 1U}) {
    const auto blocks = kMaxBlocks / divisor;
    largest = WriteDeclaration(WithBlocks(declared, blocks));
    times.emplace_back(blocks, SecondsToRead(largest, true));
    peaks.emplace_back(blocks, PeakBytes());
    fmt::print(
        "blocks {:>6}  text {:>8} bytes  read {:.3f} s  peak {:.1f} MB\n",
        blocks, largest.size(), times.back().second, peaks.back().second / 1e6);
  }
  const double valid_peak = PeakBytes();
  const double faulty_seconds = SecondsToRead(WithoutRegions(largest), false);
  fmt::print("every block faulty: refused in {:.3f} s, peak {:.1f} MB\n",
             faulty_seconds, PeakBytes() / 1e6);
  const line_fit time = FitLine(times);
  const line_fit peak = FitLine(peaks);
  fmt::print("fit: read = {:.3f} s + {:.1f} us a block\n", time.intercept,
             time.slope * 1e6);
  fmt::print("fit: peak = {:.1f} MB + {:.0f} bytes a block\n",
             peak.intercept / 1e6, peak.slope);
  // The allocator retains memory from earlier runs, so the peak may be a tenth
  // higher.
  return faulty_seconds >= 0 && times.back().second >= 0 &&
         peak.slope < kMaxBytesPerBlock && PeakBytes() < 1.1 * valid_peak;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measures the time and memory of reading a declaration.");
  absl::ParseCommandLine(argc, argv);
  return samphire::Run() ? 0 : 1;
}
