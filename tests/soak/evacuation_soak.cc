#include "soak/evacuation_soak.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/wire_text.h"
#include "platform_names.h"
#include "soak/raw_call.h"
#include "soak/soak_folder.h"
#include "support/free_address.h"
#include "support/wait_until.h"

namespace samphire {

using namespace std::chrono_literals;

namespace {

constexpr int kTargetsOfDomain = 4;
// Time from the confirmation of an evacuation until it is in force.
constexpr std::chrono::milliseconds kInForce{2500};
// Times for which an evacuation lasts, and after it is taken back.
constexpr std::chrono::milliseconds kEvacuated{4500};
constexpr std::chrono::milliseconds kBetweenRounds{2500};
constexpr std::chrono::milliseconds kTroubleTime{1000};
constexpr std::chrono::milliseconds kGrace{4000};
constexpr std::chrono::milliseconds kLookupTtl{1000};
constexpr long kResponseTimeoutSeconds = 2;

// Time left to a request, which its header tells the entry.
const std::string kDeadlineMs = "1500";
const std::string kDomain = "a-1";
const std::string kEvacuationKey = "evacuations/" + kDomain;

}  // namespace

evacuation_soak::evacuation_soak(const evacuation_soak_options& options)
    : options_(options),
      random_(options.seed),
      folder_(MakeSoakFolder("evacuations", options.seed)) {
  store_.Write("config/main", platform::ManifestObject("00000003"));
  StartTargets();
  const auto seed_address = FreeAddress();
  for (int i = 0; i < options_.entries; ++i) {
    auto one = std::make_unique<entry>();
    one->store_link = std::make_unique<relay>("127.0.0.1", store_.address());
    auto settings = platform::TestSettings(one->store_link->address());
    settings.traffic.place.instance = fmt::format("entry-{}", i);
    settings.traffic.seeds = {seed_address};
    if (i == 0)
      settings.traffic.peer_address = seed_address;
    one->caller_address = settings.traffic.caller_address;
    one->settings_path = (folder_ / fmt::format("entry-{}.json", i)).string();
    auto text = platform::SettingsText(settings, kGrace, kLookupTtl);
    text = platform::Replaced(text, R"("a-1":"a")", R"("a-1":"a","a-2":"a")");
    text =
        platform::Replaced(text, "stableWindow=500ms", "stableWindow=1500ms");
    std::ofstream(one->settings_path) << text;
    StartEntry(*one);
    entries_.push_back(std::move(one));
  }
}

evacuation_soak::~evacuation_soak() {
  entries_.clear();
  RemoveSoakFolder(folder_, findings_);
}

void evacuation_soak::StartTargets() {
  for (int i = 0; i < 2 * kTargetsOfDomain; ++i) {
    const bool evacuated = i < kTargetsOfDomain;
    auto one =
        std::make_unique<platform::wire_target>(fmt::format("i-reads-{}", i));
    const auto object =
        platform::TargetObject(one->address(), "reads", "ready");
    store_.Write(
        "servers/" + one->id(),
        evacuated ? object : platform::Replaced(object, kDomain, "a-2"));
    (evacuated ? evacuated_ : others_).push_back(std::move(one));
  }
}

void evacuation_soak::StartEntry(entry& one) {
  one.process = std::make_unique<child_process>(
      "samphire-platform-entry",
      std::vector<std::string>{"--settings=" + one.settings_path},
      one.settings_path + ".log", child_output::kLog);
}

std::vector<soak_finding> evacuation_soak::Run() {
  const auto serves = [](const entry& one) {
    return SendRawRequest(one.caller_address, "GET", "/read/up", "up", "")
               .status == 200;
  };
  for (const auto& one : entries_) {
    if (!WaitUntil([&] { return serves(*one); }, 20s))
      findings_.push_back({"starts", one->caller_address});
  }
  sending_ = true;
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(options_.callers));
  for (int i = 0; i < options_.callers; ++i)
    callers.emplace_back([this, i] { RunCaller(i); });
  std::this_thread::sleep_for(kBetweenRounds);
  for (int round = 0; round < options_.rounds; ++round)
    PlayRound();
  CheckRecovery();
  sending_ = false;
  for (auto& caller : callers)
    caller.join();
  CheckArrivals();
  return findings_;
}

void evacuation_soak::PlayRound() {
  const auto start = std::chrono::steady_clock::now();
  const auto calm = start + kTroubleTime;
  closed_time closed;
  for (int i = 0; i < 2; ++i)
    closed.troubles += BeginTrouble(calm) + " ";
  // Before, in or after the troubles.
  const auto moment = std::chrono::milliseconds(random_() % 1400);
  const auto end_troubles = [&] {
    std::this_thread::sleep_until(calm);
    EndTroubles();
  };
  if (moment >= kTroubleTime)
    end_troubles();
  std::this_thread::sleep_until(start + moment);
  store_.Write(kEvacuationKey, R"({"spec":{}})");
  closed.from = std::chrono::steady_clock::now() + kInForce;
  if (moment < kTroubleTime)
    end_troubles();
  std::this_thread::sleep_until(closed.from - kInForce + kEvacuated);
  closed.to = std::chrono::steady_clock::now();
  closed.troubles += fmt::format("evacuated after {} ms", moment.count());
  store_.Remove(kEvacuationKey);
  closed_.push_back(closed);
  std::this_thread::sleep_for(kBetweenRounds);
}

std::string evacuation_soak::BeginTrouble(time_point calm) {
  switch (random_() % 7) {
    case 0:
    case 1:
      for (const auto& one : entries_)
        one->store_link->SetBlocked(relay::direction::kReturn, true);
      drops_history_ = true;
      return "silence and lost history,";
    case 2:
      store_.refuse_with = random_() % 2 == 0 ? 503 : 429;
      return "refusals,";
    case 3:
      RandomEntry().store_link->SetBlocked(relay::direction::kReturn, true);
      return "a cut from the store,";
    case 4: {
      auto& one = RandomEntry();
      one.process->Kill();
      std::this_thread::sleep_until(
          std::min(calm, std::chrono::steady_clock::now() + 100ms));
      StartEntry(one);
      return "a kill,";
    }
    case 5:
      RandomEntry().process->Signal(SIGTERM);
      return "a stop,";
    default:
      RandomEntry().process->Signal(SIGHUP);
      RandomEntry().store_link->ResetConnections();
      return "settings read again, connections reset,";
  }
}

void evacuation_soak::EndTroubles() {
  if (drops_history_)
    store_.DropHistory();
  drops_history_ = false;
  store_.refuse_with = 0;
  for (const auto& one : entries_) {
    one->store_link->SetBlocked(relay::direction::kReturn, false);
    if (!one->process->running())
      StartEntry(*one);
  }
}

void evacuation_soak::RunCaller(int number) {
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions;
  for (const auto& one : entries_) {
    sessions.push_back(std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(one->caller_address)));
    sessions.back()->setKeepAlive(true);
    sessions.back()->setTimeout(Poco::Timespan(kResponseTimeoutSeconds, 0));
  }
  const auto names = platform::PlatformHeaders();
  for (int i = 0; sending_; ++i) {
    auto& session = *sessions[static_cast<std::size_t>(i) % sessions.size()];
    const auto id = fmt::format("{:08x}{:08x}", number, i);
    {
      std::lock_guard guard(lock_);
      sent_at_.push_back(std::chrono::steady_clock::now());
    }
    ++sent_;
    try {
      Poco::Net::HTTPRequest request("GET", "/read/" + id, "HTTP/1.1");
      request.setHost("h.example");
      request.set(names.request_id, id);
      request.set(names.deadline, kDeadlineMs);
      session.sendRequest(request);
      Poco::Net::HTTPResponse response;
      auto& body = session.receiveResponse(response);
      Poco::NullOutputStream rest;
      Poco::StreamCopier::copyStream(body, rest);
      served_ += response.getStatus() == 200 ? 1 : 0;
    } catch (const Poco::Exception&) {
      session.reset();
    }
    std::this_thread::sleep_for(15ms);
  }
}

const evacuation_soak::closed_time* evacuation_soak::ClosedAt(
    time_point time) const {
  const auto found = std::ranges::find_if(closed_, [&](const auto& each) {
    return each.from <= time && time < each.to;
  });
  return found == closed_.end() ? nullptr : &*found;
}

// A request that is sent just before the domain is used again may arrive after
// that.
void evacuation_soak::CheckArrivals() {
  for (const auto sent : sent_at_)
    judged_ += ClosedAt(sent) ? 1 : 0;
  for (const auto& target : evacuated_) {
    for (const auto& [id, arrived] : target->arrivals_by_id()) {
      const auto* closed = ClosedAt(arrived);
      if (!closed)
        continue;
      findings_.push_back(
          {"an evacuation is in force in time",
           fmt::format(
               "{} arrived {} ms after the bound at {}, beside {}; logs in {}",
               id,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   arrived - closed->from)
                   .count(),
               target->id(), closed->troubles, folder_.string())});
    }
  }
}

void evacuation_soak::CheckRecovery() {
  for (const auto& one : entries_) {
    const auto serves = [&] {
      return SendRawRequest(one->caller_address, "GET", "/read/end", "end", "")
                 .status == 200;
    };
    if (!one->process->running())
      StartEntry(*one);
    if (!WaitUntil(serves, 15s))
      findings_.push_back({"recovery", one->caller_address});
  }
}

}  // namespace samphire
