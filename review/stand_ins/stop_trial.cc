#include "stop_trial.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <thread>

#include "client.h"
#include "record.h"
#include "worker.h"

namespace review {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int kWorkers = 12;
constexpr auto kSettleTime = 5s;
constexpr auto kCheckInterval = 10ms;
// The last part of the grace time, in which requests may be cut that were sent
// no later than kExcusedSendTime after SIGTERM and are still at work.
constexpr int kExcusedPart = 6;
constexpr milliseconds kExcusedSendTime{3000};

// A request that a client sent beside the stop of its entry.
struct stopped_request {
  client_request request;
  milliseconds sent_after{0};
  // Time of its end, counted from SIGTERM.
  milliseconds ended_after{0};
  client_answer answer;
};

class stop_trial {
 public:
  stop_trial(const stop_settings& settings,
             const std::string& record_path,
             bool trouble)
      : settings_(settings),
        trouble_(trouble),
        events_(record_path),
        fleet_(settings.entries, settings.zones, settings.bounds, events_) {}

  case_status Run() {
    fleet_.store().Write("config/main", settings_.manifest);
    StartWorkers();
    if (!fleet_.Start(20s)) {
      events_.Write("the entries were not ready");
      return kCannotRun;
    }
    std::this_thread::sleep_for(kSettleTime);
    OpenConnections();
    StopEntry();
    SendRequests();
    const auto until = settings_.grace + 1s;
    WaitFor(until);
    if (trouble_ && fleet_.process(0).running())
      events_.Write("the process still ran a second after its grace time");
    else if (trouble_)
      events_.Write("the process has ended");
    for (auto& client : clients_)
      client.join();
    return Judge();
  }

 private:
  void StartWorkers() {
    auto zone = settings_.zones.begin();
    for (int i = 0; i < kWorkers; ++i) {
      workers_.push_back(std::make_unique<worker>(
          fmt::format("i-worker-{}", i), settings_.service, zone->first,
          events_, [this](const http_message& request) {
            return request.Get("request-id").starts_with("first")
                       ? milliseconds{20}
                       : settings_.work;
          }));
      fleet_.Register(*workers_.back());
      if (++zone == settings_.zones.end())
        zone = settings_.zones.begin();
    }
  }

  // Each client has used its connection before.
  void OpenConnections() {
    for (std::size_t i = 0; i < settings_.sent_after.size(); ++i) {
      connections_.push_back(std::make_unique<http_connection>(
          http_connection::Open(fleet_.front(0))));
      if (SendOn(*connections_.back(), MakeRequest(fmt::format("first-{}", i)),
                 events_)
              .status != 200)
        throw std::runtime_error("a request before the stop was not served");
    }
  }

  client_request MakeRequest(const std::string& id) const {
    return {.id = id,
            .method = "POST",
            .path = settings_.path,
            .affinity_key = id,
            .body = "{\"request\":\"" + id + "\"}",
            .time_limit = settings_.time_limit};
  }

  void StopEntry() {
    stopped_at_ = std::chrono::steady_clock::now();
    if (!trouble_)
      return;
    events_.Write("planned work: SIGTERM to " + settings_.entries[0].name);
    fleet_.process(0).Signal(SIGTERM);
    killer_ = std::jthread([this](const std::stop_token&) {
      WaitFor(settings_.grace);
      if (fleet_.process(0).running()) {
        events_.Write("planned work: SIGKILL after the grace time");
        fleet_.process(0).Signal(SIGKILL);
      }
    });
  }

  void SendRequests() {
    requests_.resize(settings_.sent_after.size());
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      auto& one = requests_[i];
      one.request = MakeRequest(fmt::format("claim-{}", i));
      one.sent_after = settings_.sent_after[i];
      clients_.emplace_back([this, &one, i] {
        WaitFor(one.sent_after);
        one.answer = SendOn(*connections_[i], one.request, events_);
        one.ended_after = SinceStop();
      });
    }
  }

  milliseconds SinceStop() const {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - stopped_at_);
  }

  void WaitFor(milliseconds since_stop) const {
    while (SinceStop() < since_stop)
      std::this_thread::sleep_for(kCheckInterval);
  }

  bool HasRun(const std::string& id) {
    return std::ranges::any_of(workers_, [&](const auto& one) {
      const auto runs = one->runs();
      return std::ranges::find(runs, id, &run::request_id) != runs.end();
    });
  }

  // LOST, for a request that was passed on to a worker: no excuse applies that
  // the rule names.
  bool IsLost(const stopped_request& one) {
    if (one.answer.status != 0 || !HasRun(one.request.id))
      return false;
    const bool out_of_time =
        one.answer.took >=
        std::min(settings_.route_timeout, settings_.time_limit);
    const auto last_part = settings_.grace - settings_.grace / kExcusedPart;
    const bool excused =
        one.sent_after <= kExcusedSendTime && one.ended_after >= last_part;
    return !out_of_time && !excused;
  }

  case_status Judge() {
    int lost = 0;
    for (const auto& one : requests_) {
      if (!IsLost(one))
        continue;
      ++lost;
      events_.Write(fmt::format(
          "broken    {} was sent {} ms after SIGTERM, passed on to a worker "
          "and cut {} ms after SIGTERM, without an answer",
          one.request.id, one.sent_after.count(), one.ended_after.count()));
    }
    events_.Write(
        fmt::format("LOST: {} of {} requests", lost, requests_.size()));
    return lost > 0 ? kBroken : kHeld;
  }

  const stop_settings& settings_;
  const bool trouble_;
  record events_;
  fleet fleet_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<http_connection>> connections_;
  std::vector<stopped_request> requests_;
  std::vector<std::thread> clients_;
  std::chrono::steady_clock::time_point stopped_at_;
  std::jthread killer_;
};

}  // namespace

case_status RunStopTrial(const stop_settings& settings,
                         const std::string& record_path,
                         bool trouble) {
  return stop_trial(settings, record_path, trouble).Run();
}

int RunStopProgram(const stop_settings& settings, int argc, char** argv) {
  if (argc != 2)
    return kCannotRun;
  try {
    return RunStopTrial(settings, argv[1], HasTrouble());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return kCannotRun;
  }
}

}  // namespace review
