// An upload with a chunked body is sent while one worker of its service has
// crashed. Shows which bytes the worker that runs it receives.

#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "../stand_ins/case_status.h"
#include "../stand_ins/client.h"
#include "../stand_ins/fleet.h"

namespace {

using namespace std::chrono_literals;
using review::body_encoding;

// Workers of the upload service, as in the sheet of the deployment; one of them
// crashes, a twelfth.
constexpr int kWorkers = 12;
constexpr std::size_t kUploadBytes = 300'000;
// Uploads after the crash: one to each entry.
constexpr int kEntries = 3;
// Time for membership to settle, in which uploads run as usual.
constexpr auto kSettleTime = 5s;
// Time between two uploads.
constexpr auto kPause = 900ms;
// The store removes the object of a silent worker after three intervals of its
// reports, 1500 ms each.
constexpr auto kExpiry = 4500ms;
constexpr auto kWork = 100ms;

constexpr const char* kBounds =
    R"({"seedLag":"3s","reuseAfter":"2s","stableWindow":"4000ms",)"
    R"("ack":"4000ms","catchUp":"4s","drain":"2500ms","grace":"6s",)"
    R"("lossSlack":"200ms","configApply":"2500ms","rollbackSlack":"250ms",)"
    R"("outerBound":"6000ms","retryBudgetRatio":0.2,"budgetWindow":"10s",)"
    R"("retryBudgetSlack":62,"coldLoadFactor":1.5,"coldSlack":5,)"
    R"("evac":"5000ms","recover":"15s","ttl_max":"5s",)"
    R"("maxRegionShift":0.15})";

constexpr const char* kManifest =
    R"({"version":"00000007","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"listeners":[{"host":"bales.example",)"
    R"("rules":[{"name":"r-upload","kind":"upload","targetLatency":"600ms",)"
    R"("priority":1,"sessionAffinity":true,"match":{"pathPrefix":"/intake/"},)"
    R"("action":{"service":"field-intake","timeout":"4000ms",)"
    R"("maxAttempts":2,"homeRegions":[]}}]}],"clusters":[)"
    R"({"name":"field-intake","healthPath":"/health","maxConns":390,)"
    R"("protocol":"h1","tls":false,"warmup":"3s","coldPerS":11.0}]})";

std::string MakeBody(const std::string& id) {
  std::string body;
  while (body.size() < kUploadBytes)
    body += fmt::format("{} byte {}\n", id, body.size());
  body.resize(kUploadBytes);
  return body;
}

class upload_case {
 public:
  explicit upload_case(const std::string& record_path)
      : events_(record_path),
        fleet_({{"front-kgl-a-1", "kgl-a"},
                {"front-kgl-b-1", "kgl-b"},
                {"front-hye-a-1", "hye-a"}},
               {{"kgl-a", "kigali"}, {"kgl-b", "kigali"}, {"hye-a", "huye"}},
               kBounds,
               events_) {}

  int Run(bool trouble) {
    fleet_.store().Write("config/main", kManifest);
    StartWorkers();
    if (!fleet_.Start(20s)) {
      events_.Write("the entries were not ready");
      return review::kCannotRun;
    }
    std::this_thread::sleep_for(kSettleTime);
    const auto before = Upload(0, "before");
    if (before.status != 200) {
      events_.Write("the upload before the crash was not served");
      return review::kCannotRun;
    }
    auto* const hit = FindWorker(before.worker);
    std::this_thread::sleep_for(kPause);
    const auto crashed_at = events_.now();
    if (trouble) {
      hit->Crash();
      events_.Write("disruption: worker " + hit->id() + " crashed");
    }
    for (int i = 0; i < kEntries; ++i) {
      std::this_thread::sleep_for(kPause);
      Upload(i, fmt::format("after-{}", i));
    }
    if (trouble) {
      std::this_thread::sleep_for(kExpiry - (events_.now() - crashed_at));
      fleet_.Expire(*hit);
    }
    return Judge();
  }

 private:
  void StartWorkers() {
    const std::vector<std::string> zones{"kgl-a", "kgl-b", "hye-a"};
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<review::worker>(
          fmt::format("i-intake-{}", i), "field-intake",
          zones[static_cast<std::size_t>(i) % zones.size()], events_,
          [](const review::http_message&) { return kWork; }));
      fleet_.Register(*workers_.back());
    }
  }

  review::worker* FindWorker(const std::string& id) {
    for (const auto& each : workers_) {
      if (each->id() == id)
        return each.get();
    }
    throw std::runtime_error("unknown worker " + id);
  }

  review::client_answer Upload(int entry, const std::string& id) {
    sent_.push_back({.id = id,
                     .method = "POST",
                     .path = "/intake/photos",
                     .affinity_key = "17",
                     .body = MakeBody(id),
                     .encoding = body_encoding::kChunked});
    return review::SendTo(fleet_.front(static_cast<std::size_t>(entry)),
                          sent_.back(), events_);
  }

  // UNASKED: no worker runs a request with its body changed.
  int Judge() {
    int changed = 0;
    for (const auto& worker : workers_) {
      for (const auto& run : worker->runs()) {
        for (const auto& request : sent_) {
          if (request.id != run.request_id ||
              review::DigestOf(request.body) == run.body_digest)
            continue;
          ++changed;
          events_.Write(fmt::format(
              "broken    {} ran at {} with {} of the {} bytes that its client "
              "sent",
              run.request_id, run.worker, run.body_bytes, request.body.size()));
        }
      }
    }
    events_.Write(fmt::format("UNASKED: {} runs with a changed body", changed));
    return changed > 0 ? review::kBroken : review::kHeld;
  }

  review::record events_;
  review::fleet fleet_;
  std::vector<std::unique_ptr<review::worker>> workers_;
  std::vector<review::client_request> sent_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCannotRun;
  try {
    return upload_case(argv[1]).Run(review::HasTrouble());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return review::kCannotRun;
  }
}
