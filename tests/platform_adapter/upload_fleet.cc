#include "platform_adapter/upload_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

// Returns a configuration in which uploads may take long and may be passed on
// by entries of any region.
std::string UploadManifest() {
  return Replaced(ManifestObject("00000009"),
                  R"("timeout":"800ms","maxAttempts":2,"homeRegions":["a"])",
                  R"("timeout":"4000ms","maxAttempts":2,"homeRegions":[])");
}

}  // namespace

upload_fleet::upload_fleet(bool has_links) {
  for (const auto* target : {&first, &second}) {
    for (const auto& one : links) {
      if (has_links)
        one->AddTarget(target->address());
    }
    targets.stand_in.Write("servers/" + target->id(),
                           TargetObject(target->address(), "writes"));
  }
  targets.stand_in.Write("config/main", UploadManifest());
  for (const auto* target : {&targets.write_1, &targets.write_2})
    targets.stand_in.Remove("servers/" + target->id());
  for (std::size_t entry = 0; entry < entries.size(); ++entry) {
    REQUIRE(Eventually([&] { return IsServedByDigests(entry); }));
  }
  // Those before were served by other targets.
  ForgetUploads();
}

int upload_fleet::Upload(upload_call call, std::size_t entry) {
  call.id = "u" + std::to_string(++uploads);
  sent[call.id] = call;
  const int status = SendUpload(settings[entry].traffic.caller_address, call);
  return statuses[call.id] = status;
}

void upload_fleet::ForgetUploads() {
  statuses.clear();
  forgotten = uploads;
}

std::string upload_fleet::KeyOf(const digest_target& target) {
  for (int key = 0; key < 100; ++key) {
    auto text = std::to_string(key);
    Upload({.affinity_key = text, .bytes = 1});
    if (HasRunLast(target))
      return text;
  }
  FAIL("no key belongs to the target");
  return {};
}

void upload_fleet::CutLinks(link_cut cut) {
  links[kEntry]->CutAll(cut);
  std::this_thread::sleep_for(kQuiet);
}

void upload_fleet::CheckRuns() const {
  std::map<std::string, int> runs;
  for (const auto* target : {&first, &second}) {
    for (const auto& run : target->runs()) {
      ++runs[run.id];
      const auto body = BodyOf(sent.at(run.id));
      INFO(run.id << " at " << target->id() << " ran with " << run.bytes
                  << " bytes of " << body.size());
      CHECK(run.bytes == body.size());
      CHECK(run.digest == DigestOf(body));
    }
  }
  for (const auto& [id, status] : statuses) {
    INFO(id << " was answered " << status);
    CHECK(runs[id] <= 1);
    if (status == kOk)
      CHECK(runs[id] == 1);
    if (status == kNotRun)
      CHECK(runs[id] == 0);
  }
}

bool upload_fleet::IsServedByDigests(std::size_t entry) {
  const auto before = first.runs().size() + second.runs().size();
  Upload({.bytes = 1}, entry);
  return first.runs().size() + second.runs().size() > before;
}

bool upload_fleet::HasRunLast(const digest_target& target) const {
  const auto runs = target.runs();
  return std::ranges::find(runs, "u" + std::to_string(uploads),
                           &digested_run::id) != runs.end();
}

}  // namespace samphire::platform
