#include "soak/upload_load.h"

#include <fmt/format.h>

#include "platform_adapter/wire_text.h"

namespace samphire {

namespace {

using platform::upload_framing;

constexpr int kTargets = 3;
// Above and below what an entry buffers of a body.
constexpr std::size_t kMaxBytes = 400'000;
const std::string kService = "uploads";
constexpr int kOk = 200;

}  // namespace

upload_load::upload_load(std::uint64_t seed)
    : random_(seed), fault_random_(seed) {
  for (int i = 0; i < kTargets; ++i) {
    target one;
    one.process = std::make_unique<platform::digest_target>(
        fmt::format("i-uploads-{}", i));
    one.link = std::make_unique<relay>("127.0.0.1", one.process->address());
    targets_.push_back(std::move(one));
  }
}

std::map<std::string, std::string> upload_load::Objects() const {
  std::map<std::string, std::string> objects;
  for (const auto& each : targets_) {
    objects["servers/" + each.process->id()] =
        platform::TargetObject(each.link->address(), kService, "ready");
  }
  return objects;
}

std::vector<std::string> upload_load::Addresses() const {
  std::vector<std::string> addresses;
  for (const auto& each : targets_)
    addresses.push_back(each.link->address());
  return addresses;
}

void upload_load::InjectFault() {
  auto& one = targets_[fault_random_() % targets_.size()];
  switch (fault_random_() % 4) {
    case 0:
      one.process->refuses = true;
      break;
    case 1:
      one.process->closes_after =
          static_cast<std::int64_t>(fault_random_() % kMaxBytes);
      break;
    case 2:
      one.link->ResetConnections();
      break;
    default:
      one.process->refuses = false;
      one.process->closes_after = -1;
  }
}

void upload_load::RemoveFaults() {
  for (auto& each : targets_) {
    each.process->refuses = false;
    each.process->closes_after = -1;
  }
}

void upload_load::SendOne(const std::string& entry_address) {
  platform::upload_call call{.affinity_key = std::to_string(random_() % 9),
                             .bytes = random_() % kMaxBytes,
                             .path = "/upload/x"};
  if (random_() % 2 == 0)
    call.framing = upload_framing::kChunks;
  if (random_() % 8 == 0 && call.bytes > 0)
    call.leaves_after = static_cast<std::int64_t>(random_() % call.bytes);
  std::string id;
  {
    std::lock_guard guard(lock_);
    id = call.id = fmt::format("up{:x}", sent_.size());
    sent_[id].call = call;
  }
  const int status = SendUpload(entry_address, call);
  std::lock_guard guard(lock_);
  sent_[id].status = status;
}

std::vector<std::string> upload_load::Violations() const {
  std::lock_guard guard(lock_);
  std::vector<std::string> violations;
  std::map<std::string, int> runs;
  for (const auto& each : targets_) {
    for (const auto& run : each.process->runs()) {
      const auto body = platform::BodyOf(sent_.at(run.id).call);
      if (run.digest != platform::DigestOf(body)) {
        violations.push_back(fmt::format("{} ran with {} bytes of {}", run.id,
                                         run.bytes, body.size()));
      }
      ++runs[run.id];
    }
  }
  for (const auto& [id, upload] : sent_) {
    const auto found = runs.find(id);
    const int count = found == runs.end() ? 0 : found->second;
    const bool untrue =
        (upload.status == kOk && count == 0) ||
        (platform::GuaranteesNotRun(upload.status) && count > 0);
    if (count > 1 || untrue) {
      violations.push_back(fmt::format("{} ran {} times and was answered {}",
                                       id, count, upload.status));
    }
  }
  return violations;
}

int upload_load::served() const {
  std::lock_guard guard(lock_);
  int count = 0;
  for (const auto& [id, upload] : sent_)
    count += upload.status == kOk ? 1 : 0;
  return count;
}

}  // namespace samphire
