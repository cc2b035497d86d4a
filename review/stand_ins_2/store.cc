#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

const std::string kObjectsPath = "/samphirewinch/objects/";
constexpr int kIdleMs = 60'000;
constexpr int kPageObjects = 500;

std::string QueryValue(const std::string& query, const std::string& name) {
  const auto start = ("&" + query).find("&" + name + "=");
  if (start == std::string::npos)
    return {};
  const auto from = start + name.size() + 1;
  return query.substr(from, query.find('&', from) - from);
}

std::string KindOf(const std::string& key) {
  return key.substr(0, key.find('/'));
}

std::string MakeResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 200 ? " OK" : " Refused") +
         "\r\nContent-Type: application/json\r\nStore-Era: 1"
         "\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeObject(const std::string& key,
                       std::uint64_t revision,
                       const std::string& content) {
  return R"({"metadata":{"name":")" + key.substr(key.find('/') + 1) +
         R"(","rev":)" + std::to_string(revision) + "}," + content + "}";
}

}  // namespace

store::store()
    : listener_([this](http_link link) { Serve(std::move(link)); }) {}

void store::Write(const std::string& key, const std::string& content) {
  std::lock_guard guard(lock_);
  const auto object = MakeObject(key, ++revision_, content);
  objects_[key] = object;
  history_.push_back({key, revision_, false, object});
  changed_.notify_all();
}

void store::Remove(const std::string& key) {
  std::lock_guard guard(lock_);
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return;
  history_.push_back({key, ++revision_, true, found->second});
  objects_.erase(found);
  changed_.notify_all();
}

void store::Serve(http_link link) {
  while (const auto request = link.Read(kIdleMs)) {
    if (!link.Send(Respond(*request)))
      return;
  }
}

std::string store::Respond(const http_message& request) {
  const auto first = request.start_line.find(' ') + 1;
  const auto uri =
      request.start_line.substr(first, request.start_line.rfind(' ') - first);
  const auto mark = std::min(uri.find('?'), uri.size());
  const auto path = uri.substr(0, mark);
  const auto query = mark < uri.size() ? uri.substr(mark + 1) : std::string();
  // Entries write nothing on this platform.
  if (!request.start_line.starts_with("GET ") ||
      !path.starts_with(kObjectsPath))
    return MakeResponse(404, "{}");
  const auto key = path.substr(kObjectsPath.size());
  if (key.find('/') != std::string::npos) {
    std::lock_guard guard(lock_);
    const auto found = objects_.find(key);
    return found == objects_.end() ? MakeResponse(404, "{}")
                                   : MakeResponse(200, found->second);
  }
  const auto watch = QueryValue(query, "watch");
  if (watch.empty())
    return MakeResponse(200, List(key, QueryValue(query, "after")));
  return MakeResponse(200,
                      Watch(key, std::strtoull(watch.c_str(), nullptr, 10),
                            std::atoi(QueryValue(query, "waitMs").c_str())));
}

std::string store::List(const std::string& kind, const std::string& after) {
  std::lock_guard guard(lock_);
  std::string items;
  int count = 0;
  bool more = false;
  for (const auto& [key, object] : objects_) {
    if (KindOf(key) != kind || key.substr(kind.size() + 1) <= after)
      continue;
    if (count == kPageObjects) {
      more = true;
      break;
    }
    items += (count++ > 0 ? "," : "") + object;
  }
  return R"({"items":[)" + items + R"(],"hasMore":)" +
         (more ? "true" : "false") + R"(,"asOf":)" + std::to_string(revision_) +
         "}";
}

std::string store::Watch(const std::string& kind,
                         std::uint64_t revision,
                         int wait_ms) {
  std::unique_lock guard(lock_);
  const auto is_new = [&](const change& each) {
    return each.revision > revision && KindOf(each.key) == kind;
  };
  changed_.wait_for(guard, std::chrono::milliseconds(wait_ms),
                    [&] { return std::ranges::any_of(history_, is_new); });
  std::string events;
  for (const auto& each : history_) {
    if (!is_new(each))
      continue;
    events += events.empty() ? "" : ",";
    events += R"({"deleted":)" + std::string(each.deleted ? "true" : "false") +
              R"(,"object":)" + each.object + "}";
  }
  return R"({"events":[)" + events + R"(],"asOf":)" +
         std::to_string(revision_) + "}";
}

}  // namespace review
