#include "fleet.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unistd.h>

#include <filesystem>
#include <thread>
#include <utility>

#include "http_connection.h"

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kPollInterval = 50ms;
constexpr auto kReadyTimeout = 1s;
constexpr std::size_t kSeeds = 3;

std::string MakeFolder() {
  const auto folder = std::filesystem::temp_directory_path() /
                      fmt::format("samphire-review-{}", getpid());
  std::filesystem::create_directories(folder);
  return folder.string();
}

std::string ToJson(const std::map<std::string, std::string>& fields) {
  std::vector<std::string> members;
  members.reserve(fields.size());
  for (const auto& [name, value] : fields)
    members.push_back(fmt::format(R"("{}":"{}")", name, value));
  return fmt::format("{{{}}}", fmt::join(members, ","));
}

}  // namespace

fleet::fleet(const std::vector<placed_entry>& entries,
             const std::map<std::string, std::string>& zones,
             const std::string& bounds,
             record& events,
             std::size_t page_size,
             copy_lags lags)
    : zones_(zones),
      folder_(MakeFolder()),
      store_(events, page_size, std::move(lags)) {
  std::vector<std::string> seeds;
  for (const auto& each : entries) {
    machines_.push_back(MakeMachine(each.name, each.zone));
    if (seeds.size() < kSeeds)
      seeds.push_back("\"" + machines_.back().control + "\"");
  }
  installation_ = {.zones = ToJson(zones),
                   .bounds = bounds,
                   .seeds = fmt::format("[{}]", fmt::join(seeds, ",")),
                   .store_address = store_.address()};
}

fleet::~fleet() {
  processes_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void fleet::Register(const worker& one) {
  store_.Write("servers/" + one.id(), one.Object());
}

void fleet::Expire(const worker& one) {
  store_.Remove("servers/" + one.id());
}

bool fleet::Start(std::chrono::seconds timeout) {
  for (const auto& each : machines_)
    StartProcess(each);
  const auto until = std::chrono::steady_clock::now() + timeout;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    while (AskReady(i) != 200) {
      if (std::chrono::steady_clock::now() > until)
        return false;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

std::size_t fleet::Add(const placed_entry& added) {
  installation_.bootstrap = false;
  machines_.push_back(MakeMachine(added.name, added.zone));
  StartProcess(machines_.back());
  return machines_.size() - 1;
}

void fleet::StartProcess(const entry_machine& machine) {
  processes_.push_back(std::make_unique<entry_process>(
      machine, installation_, zones_.at(machine.zone), folder_));
}

int fleet::AskReady(std::size_t entry) const {
  const auto& address = machines_[entry].ready;
  http_connection connection(http_connection::Open(address));
  if (!connection.is_open() ||
      !connection.Send(fmt::format(
          "GET /samphirewinch/ready HTTP/1.1\r\nHost: {}\r\n\r\n", address)))
    return 0;
  const auto answer = connection.Receive(kReadyTimeout);
  return answer ? answer->status() : 0;
}

}  // namespace review
