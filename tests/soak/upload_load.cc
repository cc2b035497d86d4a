#include "soak/upload_load.h"

#include <fmt/format.h>

#include <algorithm>

#include "platform_adapter/wire_text.h"

namespace samphire {

namespace {

using platform::upload_framing;

constexpr int kTargets = 3;
// Above and below what an entry buffers of a body.
constexpr std::size_t kMaxBytes = 400'000;
const std::string kService = "uploads";
constexpr int kOk = 200;
// Of so many uploads, one has an odd but valid head, and one a malformed one.
constexpr std::uint64_t kOddEvery = 5;

// Header lines that run as they are.
std::vector<std::string> ValidLines() {
  std::string many;
  for (int i = 0; i < 300; ++i)
    many += fmt::format("X-{}: {}\r\n", i, i);
  const std::string hidden =
      "POST_/upload/x_HTTP/1.1=0D=0AHost:_h.example=0D=0ARequest-Id:_hidden";
  return {"X-Note: =?UTF-8?Q?a=0D=0A=0D=0A" + hidden + "?=\r\n",
          "X-Note: =?UTF-8?Q?a=0D=0AContent-Length:_0?=\r\n",
          "X-Name: \xc3\xa4\xff\r\n",
          "X-Empty:\r\n",
          "Connection: X-Hop, close\r\nX-Hop: 1\r\n",
          "X-Long: " + std::string(9000, 'l') + "\r\n",
          many};
}

// Header lines that others may read in another way.
std::vector<std::string> MalformedLines() {
  return {"Content-Length : 0\r\n",
          "Content-Length: 0,0\r\n",
          "Content-Length: =?UTF-8?Q?0?=\r\n",
          "Transfer-Encoding: identity\r\n",
          "X-A b\r\n",
          "X-A: b\r\n Request-Id: hidden\r\n",
          "X-A: b\nRequest-Id: hidden\r\n",
          "X-A: b\rRequest-Id: hidden\r\n",
          "Request-Id: hidden\r\n",
          "Connection: Request-Id\r\n",
          "Host: other.example\r\n"};
}

}  // namespace

upload_load::upload_load(std::uint64_t seed)
    : random_(seed), fault_random_(seed), odd_random_(seed) {
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

void upload_load::SpoilHead(sent_upload& upload) {
  static const auto valid = ValidLines();
  static const auto malformed = MalformedLines();
  const auto kind = odd_random_() % kOddEvery;
  if (kind > 1)
    return;
  upload.is_malformed = kind == 1;
  const auto& lines = upload.is_malformed ? malformed : valid;
  upload.call.lines = lines[odd_random_() % lines.size()];
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
    auto& upload = sent_[id];
    upload.call = call;
    SpoilHead(upload);
    call = upload.call;
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
      const auto sent = sent_.find(run.id);
      if (sent == sent_.end() || sent->second.is_malformed) {
        violations.push_back(
            fmt::format("'{}' ran, which nobody sent so", run.id));
        continue;
      }
      const auto body = platform::BodyOf(sent->second.call);
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

int upload_load::odd_heads() const {
  std::lock_guard guard(lock_);
  return static_cast<int>(std::ranges::count_if(sent_, [](const auto& each) {
    return !each.second.call.lines.empty() && !each.second.is_malformed;
  }));
}

int upload_load::malformed_heads() const {
  std::lock_guard guard(lock_);
  return static_cast<int>(std::ranges::count_if(
      sent_, [](const auto& each) { return each.second.is_malformed; }));
}

int upload_load::served() const {
  std::lock_guard guard(lock_);
  int count = 0;
  for (const auto& [id, upload] : sent_)
    count += upload.status == kOk ? 1 : 0;
  return count;
}

}  // namespace samphire
