#include "object_store.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kIdleTimeout = 60s;
constexpr int kAcceptPollMs = 20;
const std::string kObjectsPath = "/samphirewinch/objects/";

// Splits the query of a request target into names and values.
std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == std::string::npos)
    return query;
  std::istringstream parts(target.substr(mark + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const auto equals = part.find('=');
    if (equals != std::string::npos)
      query[part.substr(0, equals)] = part.substr(equals + 1);
  }
  return query;
}

std::string NameOf(const std::string& key) {
  return key.substr(key.find('/') + 1);
}

}  // namespace

object_store::object_store(record& events,
                           std::size_t page_size,
                           copy_lags lags)
    : events_(events),
      page_size_(page_size),
      lags_(std::move(lags)),
      listener_(ListenAnywhere()),
      acceptor_([this] { Accept(); }) {}

object_store::~object_store() {
  ended_ = true;
  acceptor_.join();
  close(listener_.descriptor);
  changed_.notify_all();
  for (auto& each : sessions_) {
    each.connection->Shutdown();
    each.thread.join();
  }
}

std::uint64_t object_store::Write(const std::string& key,
                                  const std::string& value) {
  std::lock_guard guard(lock_);
  values_[key] = value;
  const auto object =
      fmt::format(R"({{"metadata":{{"name":"{}","rev":{},"created":1,)"
                  R"("finalizers":[],"deleteRequested":false}},"spec":{},)"
                  R"("status":null}})",
                  NameOf(key), changes_.size() + 1, value);
  return Append({.key = key, .object = object});
}

std::uint64_t object_store::Remove(const std::string& key) {
  std::lock_guard guard(lock_);
  const auto last =
      std::find_if(changes_.rbegin(), changes_.rend(),
                   [&](const change& each) { return each.key == key; });
  values_.erase(key);
  return Append({.key = key, .object = last->object, .removed = true});
}

// Called with the lock.
std::uint64_t object_store::Append(change added) {
  added.at = std::chrono::steady_clock::now();
  changes_.push_back(std::move(added));
  changed_.notify_all();
  return changes_.size();
}

void object_store::Accept() {
  while (!ended_) {
    pollfd entry{listener_.descriptor, POLLIN, 0};
    if (poll(&entry, 1, kAcceptPollMs) <= 0)
      continue;
    const int descriptor =
        accept4(listener_.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      continue;
    std::lock_guard guard(lock_);
    auto& added = sessions_.emplace_back();
    added.connection = std::make_unique<http_connection>(descriptor);
    added.thread = std::thread([this, &added] { Serve(*added.connection); });
  }
}

void object_store::Serve(http_connection& connection) {
  while (!ended_) {
    const auto request = connection.Receive(kIdleTimeout);
    if (!request || !request->complete)
      break;
    const auto answer = Answer(*request);
    if (!connection.Send(fmt::format(
            "HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\n"
            "Store-Era: 1\r\nContent-Length: {}\r\n\r\n{}",
            answer.status, answer.body.size(), answer.body)))
      break;
  }
  connection.Shutdown();
}

object_store::reply object_store::Answer(const http_message& request) {
  std::istringstream line(request.first_line);
  std::string method;
  std::string target;
  line >> method >> target;
  const auto path = target.substr(0, target.find('?'));
  if (method != "GET" || !path.starts_with(kObjectsPath))
    return {.status = 503, .body = "{}"};
  const auto kind = path.substr(kObjectsPath.size());
  if (kind.find('/') != std::string::npos)
    return {.status = 404, .body = "{}"};
  auto query = QueryOf(target);
  return query.contains("watch") ? Watch(kind + "/", query)
                                 : List(kind + "/", query);
}

// A page is what the store, or a copy of it, held at one revision.
object_store::reply object_store::List(
    const std::string& kind,
    std::map<std::string, std::string>& query) {
  std::lock_guard guard(lock_);
  const bool stale = query["allowStale"] == "1" && !lags_.empty();
  const auto as_of = !stale
                         ? changes_.size()
                         : StaleRevision(query["after"].empty() ? lags_.front()
                                                                : lags_.back());
  std::map<std::string, std::string> objects;
  for (std::size_t i = 0; i < as_of; ++i) {
    const auto& each = changes_[i];
    if (!each.key.starts_with(kind) || NameOf(each.key) <= query["after"])
      continue;
    if (each.removed)
      objects.erase(each.key);
    else
      objects[each.key] = each.object;
  }
  std::vector<std::string> items;
  for (const auto& [key, object] : objects) {
    if (items.size() < page_size_)
      items.push_back(object);
  }
  const bool more = objects.size() > items.size();
  events_.Write(fmt::format(
      "store     listed {} after \"{}\"{}: {} items as of revision {}, the "
      "store is at {}",
      kind, query["after"], stale ? " from a copy" : "", items.size(), as_of,
      changes_.size()));
  return {.body = fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":{}}})",
                              fmt::join(items, ","), more, as_of)};
}

object_store::reply object_store::Watch(
    const std::string& kind,
    std::map<std::string, std::string>& query) {
  const auto from = std::strtoull(query["watch"].c_str(), nullptr, 10);
  const std::chrono::milliseconds wait(
      std::strtoul(query["waitMs"].c_str(), nullptr, 10));
  std::vector<std::string> events;
  std::unique_lock guard(lock_);
  const auto collect = [&] {
    for (auto i = from; i < changes_.size(); ++i) {
      const auto& each = changes_[i];
      if (each.key.starts_with(kind))
        events.push_back(fmt::format(R"({{"deleted":{},"object":{}}})",
                                     each.removed, each.object));
    }
    return !events.empty() || ended_;
  };
  changed_.wait_for(guard, wait, collect);
  return {.body = fmt::format(R"({{"events":[{}],"asOf":{}}})",
                              fmt::join(events, ","), changes_.size())};
}

std::uint64_t object_store::StaleRevision(std::chrono::milliseconds lag) const {
  const auto time = std::chrono::steady_clock::now() - lag;
  const auto later = std::ranges::find_if(
      changes_, [time](const change& each) { return each.at > time; });
  return std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(later - changes_.begin()));
}

}  // namespace review
