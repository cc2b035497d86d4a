#include "lookup_cache.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace samphire {

namespace {

// Limit for connecting to an entry and for each read of its response.
constexpr milliseconds kLookupTimeout{1000};
// After a failed look-up the cached response is used for this long before the
// next attempt, so that an unreachable fleet is not queried for each request.
constexpr milliseconds kFailureBackoff{200};

}  // namespace

lookup_cache::lookup_cache(std::vector<std::string> known_entries,
                           keep_alive_pool& pool,
                           history_writer& history)
    : known_entries_(std::move(known_entries)),
      pool_(pool),
      history_(history) {}

std::vector<std::string> lookup_cache::EntriesFor(const std::string& source,
                                                  const std::string& service) {
  const auto key = source + " " + service;
  const auto now = std::chrono::steady_clock::now();
  auto cached =
      shards_.With(key, [&](shard_state& state) { return state.cached[key]; });
  if (now < cached.expires_at)
    return cached.entries;
  // Queries the entries of the last response first, then the configured ones,
  // starting at a different one each time to spread the load.
  auto candidates = cached.entries;
  const auto first = next_++;
  for (std::size_t i = 0; i < known_entries_.size(); ++i)
    candidates.push_back(known_entries_[(first + i) % known_entries_.size()]);
  const bool answered =
      std::any_of(candidates.begin(), candidates.end(), [&](const auto& entry) {
        return QueryEntry(entry, source, service, cached);
      });
  if (!answered)
    cached.expires_at = std::chrono::steady_clock::now() + kFailureBackoff;
  shards_.With(key, [&](shard_state& state) { state.cached[key] = cached; });
  return cached.entries;
}

bool lookup_cache::QueryEntry(const std::string& entry,
                              const std::string& source,
                              const std::string& service,
                              cached_lookup& answer) {
  ++calls_;
  const auto asked_us = HistoryNow();
  try {
    auto connection = pool_.Acquire(source, entry, kLookupTimeout);
    auto& session = *connection.session;
    session.socket().setReceiveTimeout(Poco::Timespan(
        std::chrono::duration_cast<microseconds>(kLookupTimeout).count()));
    Poco::Net::HTTPRequest request("GET", "/v1/lookup?service=" + service,
                                   "HTTP/1.1");
    request.setHost(entry);
    request.setKeepAlive(true);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    std::stringstream body;
    body << stream.rdbuf();
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      ++failures_;
      return false;
    }
    const auto object = Poco::JSON::Parser()
                            .parse(body.str())
                            .extract<Poco::JSON::Object::Ptr>();
    const auto list = object->getArray("entries");
    std::vector<std::string> entries;
    for (unsigned i = 0; !list.isNull() && i < list->size(); ++i)
      entries.push_back(list->getObject(i)->getValue<std::string>("address"));
    if (entries.empty()) {
      ++failures_;
      return false;
    }
    answer.entries = std::move(entries);
    answer.expires_at = std::chrono::steady_clock::now() +
                        milliseconds(object->getValue<std::int64_t>("ttl_ms"));
    history_.Write(config_seen{
        .time_us = HistoryNow(),
        .asked_us = asked_us,
        .entry = entry,
        .version = object->getValue<std::int64_t>("config_version")});
    if (response.getKeepAlive())
      pool_.Release(source, entry, std::move(connection));
    return true;
  } catch (const Poco::Exception&) {
    ++failures_;
    return false;
  }
}

}  // namespace samphire
