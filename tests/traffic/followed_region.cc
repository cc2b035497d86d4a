#include "traffic/followed_region.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "support/free_address.h"
#include "traffic/following/mirror_handler.h"
#include "traffic/handler_factory.h"

namespace samphire {

using namespace std::chrono_literals;

namespace {

// Time after the end of a watch until its call is given up, as on the users'
// platform.
constexpr milliseconds kWatchMargin{700};
// 10 Mbit/s.
constexpr std::int64_t kLinkBytesPerSecond = 1'250'000;

}  // namespace

followed_entry::followed_entry(region_store& store,
                               transport_router& router,
                               const std::string& name,
                               std::int64_t link_bytes_per_second)
    : store_(store),
      name_(name),
      signer_(peer_keys::Parse("0123456789abcdef0123456789abcdef").value(),
              {name, 1},
              clock_),
      transport_(router, name),
      announcer_(
          transport_,
          relay_,
          [this] { return news_peers{.region = peers_, .relays = {}}; },
          counters_),
      server_address_(FreeAddress()),
      link_("127.0.0.1", server_address_),
      server_(server_address_,
              new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
                UseProcessor();
                return new mirror_handler(relay_, signer_, link_.address(),
                                          counters_);
              }),
              {.max_connections = 256},
              counters_) {
  link_.SetBandwidth(relay::direction::kReturn, link_bytes_per_second);
  server_.Start();
}

void followed_entry::UseProcessor() {
  if (call_time.load() == 0ms)
    return;
  std::lock_guard guard(processor_);
  std::this_thread::sleep_for(call_time.load());
}

void followed_entry::Start(const source_plan& plan,
                           const std::vector<std::string>& prefixes,
                           const std::set<std::string>& announced,
                           const std::vector<std::string>& peers) {
  plan_ = plan;
  announced_ = announced;
  peers_ = peers;
  shared_ = std::make_unique<shared_store>(
      *this, relay_, pool_, signer_, clock_, 0ms, [this] { return plan_; },
      [] { return std::vector<std::string>{}; }, &announcer_);
  for (const auto& prefix : prefixes) {
    followers_.push_back(std::make_unique<object_follower>(
        *shared_, clock_, prefix,
        [this](const auto& objects) { OnObjects(objects); }));
    if (announced.contains(prefix)) {
      announcer_.Follow(prefix,
                        [&follower = *followers_.back()](const auto& listing) {
                          follower.Offer(listing);
                        });
    }
    followers_.back()->Start();
  }
}

void followed_entry::Stop() {
  for (const auto& prefix : announced_)
    announcer_.Follow(prefix, nullptr);
  followers_.clear();
}

bool followed_entry::HasReceived(const std::string& key,
                                 const std::string& value) const {
  std::lock_guard guard(lock_);
  const auto values = received_.find(key);
  return values != received_.end() &&
         values->second.contains(std::hash<std::string>()(value));
}

std::string followed_entry::Describe() const {
  static const std::map<source_role, std::string> role_names = {
      {source_role::kWatcher, "watcher"},
      {source_role::kBackup, "backup"},
      {source_role::kFollower, "follower"}};
  return fmt::format("{} {}{}", name_, role_names.at(plan_.role),
                     turned_away ? " turned away" : "");
}

result<watch_batch> followed_entry::Watch(const std::string& prefix,
                                          store_cursor cursor,
                                          milliseconds wait) {
  if (turned_away)
    return MakeError(result_code::kStoreUnreachable, "turned away");
  // A call that has met a silent store waits for its whole time, also when the
  // store is back meanwhile.
  if (store_.IsSilent()) {
    std::this_thread::sleep_for(wait + kWatchMargin);
    return MakeError(result_code::kStoreUnreachable, "silent");
  }
  auto batch = store_.Watch(prefix, cursor, wait);
  if (store_.IsSilent()) {
    std::this_thread::sleep_for(kWatchMargin);
    return MakeError(result_code::kStoreUnreachable, "silent");
  }
  return batch;
}

void followed_entry::OnObjects(const object_mirror::object_map& objects) {
  std::lock_guard guard(lock_);
  for (const auto& [key, value] : objects)
    received_[key].insert(std::hash<std::string>()(value));
}

followed_region::followed_region(std::size_t size,
                                 const std::vector<std::string>& prefixes,
                                 const std::set<std::string>& announced) {
  entry_list list;
  for (std::size_t i = 0; i < size; ++i) {
    const auto name = fmt::format("entry-{}", i);
    entries_.push_back(std::make_unique<followed_entry>(store_, router_, name,
                                                        kLinkBytesPerSecond));
    list.names.push_back(name);
    list.failure_domains.push_back("a-1");
    list.peer_addresses.push_back(entries_.back()->address());
  }
  for (std::size_t i = 0; i < size; ++i) {
    auto peers = list.names;
    std::erase(peers, list.names[i]);
    entries_[i]->Start(PlanSources({list.names[i], "a-1", "a"}, list), prefixes,
                       announced, peers);
  }
}

// One after the other, the watches under way would take half a minute to end.
followed_region::~followed_region() {
  std::vector<std::thread> stopping;
  for (const auto& entry : entries_)
    stopping.emplace_back([&entry] { entry->Stop(); });
  for (auto& thread : stopping)
    thread.join();
}

void followed_region::TurnAway(std::size_t first, std::size_t step) {
  for (std::size_t i = first; i < entries_.size(); i += step)
    entries_[i]->turned_away = true;
}

void followed_region::TurnAway(source_role role, std::size_t count) {
  for (const auto& entry : entries_) {
    if (entry->role() == role && count > 0) {
      entry->turned_away = true;
      --count;
    }
  }
}

void followed_region::SetCallTime(milliseconds time) {
  for (const auto& entry : entries_)
    entry->call_time = time;
}

std::vector<std::string> followed_region::WaitForAll(const std::string& key,
                                                     const std::string& value,
                                                     milliseconds limit) const {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (true) {
    std::vector<std::string> missing;
    for (const auto& entry : entries_) {
      if (!entry->HasReceived(key, value))
        missing.push_back(entry->Describe());
    }
    if (missing.empty() || std::chrono::steady_clock::now() >= deadline)
      return missing;
    std::this_thread::sleep_for(10ms);
  }
}

}  // namespace samphire
