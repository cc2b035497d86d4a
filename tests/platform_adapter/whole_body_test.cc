#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/upload_fleet.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Time after which an entry no longer knows which others could pass requests
// on.
constexpr auto kRelayMemory = 3100ms;
// Sizes below and above the buffers of an entry (16 KiB, 128 KiB), and at their
// edges.
const std::vector<std::size_t> kSizes{
    0, 1, 16'384, 16'385, 100'000, 131'071, 131'072, 131'073, 300'000};
constexpr std::size_t kLong = 300'000;
constexpr std::size_t kShort = 100'000;

// Sends uploads of all sizes in both framings. Returns how many succeeded.
int UploadAll(upload_fleet& fleet) {
  int served = 0;
  for (const auto framing : kUploadFramings) {
    for (const auto bytes : kSizes)
      served += fleet.Upload({.framing = framing, .bytes = bytes}) ==
                upload_fleet::kOk;
  }
  return served;
}

// Sends uploads whose caller leaves after some bytes of the body.
void CutByCaller(upload_fleet& fleet, int cut_at) {
  for (const auto framing : kUploadFramings) {
    for (const auto bytes : {kShort, kLong}) {
      if (cut_at < static_cast<int>(bytes))
        fleet.Upload(
            {.framing = framing, .bytes = bytes, .leaves_after = cut_at});
    }
  }
}

// Sends uploads while one of the two targets closes its connections after some
// bytes of a body.
void CutByTarget(upload_fleet& fleet, int cut_at) {
  fleet.first.closes_after = cut_at;
  for (const auto framing : kUploadFramings) {
    for (const auto bytes : {kShort, kLong, kLong})
      fleet.Upload({.framing = framing, .bytes = bytes});
  }
  fleet.first.closes_after = -1;
}

int UploadsOfAllKinds() {
  return static_cast<int>(kUploadFramings.size() * kSizes.size());
}

}  // namespace

// Guards against uploads that run with their first 128 KiB: an entry that was
// asked to pass one on read the rest of it and then reached no target.
TEST_CASE("an upload that no entry could pass on runs whole or not at all") {
  upload_fleet fleet(false);
  const auto key = fleet.KeyOf(fleet.first);
  fleet.first.StopListening();
  for (const auto framing : kUploadFramings) {
    for (const auto bytes : {kShort, std::size_t{131'073}, kLong, kLong}) {
      std::this_thread::sleep_for(upload_fleet::kQuiet);
      CHECK(fleet.Upload(
                {.affinity_key = key, .framing = framing, .bytes = bytes}) ==
            upload_fleet::kOk);
    }
  }
  fleet.CheckRuns();
}

// Guards against callers who are refused although a target is free: an entry
// that can't pass a long upload on must leave it whole for the next one.
TEST_CASE("long uploads are served though some entries can't pass them on") {
  upload_fleet fleet;
  for (const std::size_t entry : {0, 1, 2})
    fleet.links[entry]->CutAll(link_cut::kRefuseNew);
  for (const auto framing : kUploadFramings) {
    for (const auto bytes : {std::size_t{131'073}, kLong}) {
      std::this_thread::sleep_for(kRelayMemory);
      CHECK(fleet.Upload({.framing = framing, .bytes = bytes}) ==
            upload_fleet::kOk);
    }
  }
  fleet.CheckRuns();
}

// Guards against bodies that are cut or changed on the direct way.
TEST_CASE("uploads reach their targets whole") {
  upload_fleet fleet;
  CHECK(UploadAll(fleet) == UploadsOfAllKinds());
  fleet.CheckRuns();
}

// Guards against bodies that are cut or changed on the way through an entry.
TEST_CASE("uploads pass through another entry whole") {
  const auto cut = GENERATE(link_cut::kHang, link_cut::kReset);
  upload_fleet fleet;
  fleet.CutLinks(cut);
  CHECK(UploadAll(fleet) >= UploadsOfAllKinds() - 1);
  fleet.CheckRuns();
}

// Guards against a second target that gets what the first one has left: only
// uploads that are buffered whole may go to another one.
TEST_CASE("an upload that a target refuses runs whole or not at all") {
  const bool relayed = GENERATE(false, true);
  upload_fleet fleet;
  if (relayed) {
    fleet.CutLinks(link_cut::kRefuseNew);
  }
  fleet.first.refuses = true;
  UploadAll(fleet);
  fleet.CheckRuns();
}

// Guards against bodies that run although their target, their caller or the
// entry between them broke off.
TEST_CASE("an upload that is cut runs whole or not at all") {
  const bool relayed = GENERATE(false, true);
  upload_fleet fleet;
  if (relayed) {
    fleet.CutLinks(link_cut::kRefuseNew);
  }
  for (const int cut_at : {0, 1, 16'384, 131'072, 131'073, 200'000}) {
    CutByCaller(fleet, cut_at);
    CutByTarget(fleet, cut_at);
  }
  fleet.CheckRuns();
}
