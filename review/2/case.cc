// Some workers break off a few of their answers in the head. Compares what
// clients get with what the workers answer.

#include <fmt/format.h>

#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../stand_ins/case_status.h"
#include "../stand_ins/client.h"
#include "../stand_ins/fleet.h"

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto kSettleTime = 5s;
// The sheet: 20 workers, of which a share of 0.35 spoils 0.02 of its answers
// for 5.5 s.
constexpr int kWorkers = 20;
constexpr int kFaultyWorkers = 7;
constexpr int kBreakOffOneIn = 50;
constexpr milliseconds kFaultTime{5500};
// The rate of the sheet, sent by as many clients as answer times need.
constexpr double kRequestsPerSecond = 339;
constexpr int kClients = 100;
constexpr milliseconds kWork{100};

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
    R"("rules":[{"name":"r-lookup","kind":"safe","targetLatency":"500ms",)"
    R"("priority":2,"sessionAffinity":true,"match":{"pathPrefix":"/bale/"},)"
    R"("action":{"service":"trace-query","timeout":"2000ms",)"
    R"("maxAttempts":2,"homeRegions":[]}}]}],"clusters":[)"
    R"({"name":"trace-query","healthPath":"/health","maxConns":390,)"
    R"("protocol":"h1","tls":false,"warmup":"3s","coldPerS":11.0}]})";

class broken_answer_case {
 public:
  explicit broken_answer_case(const std::string& record_path)
      : events_(record_path),
        fleet_({{"front-kgl-a-1", "kgl-a"},
                {"front-kgl-b-1", "kgl-b"},
                {"front-hye-a-1", "hye-a"}},
               {{"kgl-a", "kigali"}, {"kgl-b", "kigali"}, {"hye-a", "huye"}},
               kBounds,
               events_) {}

  int Run(bool trouble) {
    fleet_.store().Write("config/main", kManifest);
    const std::vector<std::string> zones{"kgl-a", "kgl-b", "hye-a"};
    for (std::size_t i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<review::worker>(
          fmt::format("i-trace-{}", i), "trace-query", zones[i % zones.size()],
          events_, [](const review::http_message&) { return kWork; }));
      fleet_.Register(*workers_.back());
    }
    if (!fleet_.Start(20s)) {
      events_.Write("the entries were not ready");
      return review::kCannotRun;
    }
    std::this_thread::sleep_for(kSettleTime);
    sending_ = true;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i)
      clients.emplace_back([this, i] { SendLookups(i); });
    std::this_thread::sleep_for(1s);
    for (std::size_t i = 0; trouble && i < kFaultyWorkers; ++i) {
      events_.Write("disruption: " + workers_[i]->id() +
                    " breaks off one in 50 of its answers");
      workers_[i]->BreakOff(kBreakOffOneIn);
    }
    std::this_thread::sleep_for(kFaultTime);
    for (const auto& each : workers_)
      each->BreakOff(0);
    sending_ = false;
    for (auto& client : clients)
      client.join();
    events_.Write(fmt::format(
        "MIXED: {} of {} successes had a body that isn't the worker's whole "
        "body",
        wrong_.load(), served_.load()));
    return wrong_ > 0 ? review::kBroken : review::kHeld;
  }

 private:
  void SendLookups(int client) {
    std::mt19937 random(static_cast<unsigned>(client));
    const std::chrono::duration<double> interval(kClients / kRequestsPerSecond);
    auto next = std::chrono::steady_clock::now() +
                interval * (static_cast<double>(client) / kClients);
    for (int i = 0; sending_; ++i) {
      std::this_thread::sleep_until(next);
      next += interval;
      const auto key = std::to_string(random() % 84);
      const auto id = fmt::format("lookup-{}-{}", client, i);
      const auto answer = review::SendTo(fleet_.front(random() % 3),
                                         {.id = id,
                                          .path = "/bale/" + key,
                                          .affinity_key = key,
                                          .time_limit = milliseconds{3000}},
                                         events_);
      Check(id, answer);
    }
  }

  // MIXED: a client gets a success (2xx) with a body that isn't the worker's
  // whole body.
  void Check(const std::string& id, const review::client_answer& answer) {
    if (answer.status / 100 != 2)
      return;
    ++served_;
    const auto expected = review::AnswerBody(id);
    if (answer.body == expected)
      return;
    ++wrong_;
    events_.Write(fmt::format(
        "broken    {} was answered {} with {} of the {} bytes of the worker's "
        "body",
        id, answer.status, answer.body.size(), expected.size()));
  }

  review::record events_;
  review::fleet fleet_;
  std::vector<std::unique_ptr<review::worker>> workers_;
  std::atomic<bool> sending_{false};
  std::atomic<int> served_{0};
  std::atomic<int> wrong_{0};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return review::kCannotRun;
  try {
    return broken_answer_case(argv[1]).Run(review::HasTrouble());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return review::kCannotRun;
  }
}
