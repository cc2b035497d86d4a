#include "store/stand_in_handler.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"
#include "store/store_json.h"

namespace samphire {

namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kInstancesPath = "/v1/instances/";
// Upper bound on the wait time that a watch may request.
constexpr long long kMaxWatchWaitMs = 60'000;

std::string ReadBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

std::string QueryParameter(const Poco::URI& uri, std::string_view name) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name)
      return value;
  }
  return {};
}

std::uint64_t ParseNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

std::string StripPrefix(const std::string& path, std::string_view prefix) {
  return path.substr(std::min(path.size(), prefix.size()));
}

int StatusOf(const error& failure) {
  return InfoOf(failure.code).http_status;
}

// Consumes one of the remaining faults. Returns false if none remains.
bool ConsumeFault(std::atomic<int>& remaining) {
  int current = remaining.load();
  while (current > 0 &&
         !remaining.compare_exchange_weak(current, current - 1)) {
  }
  return current > 0;
}

}  // namespace

void stand_in_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response) {
  std::optional<reply> reply_to_send;
  try {
    const Poco::URI uri(request.getURI());
    const auto call = CallOf(request.getMethod(), uri.getPath());
    reply_to_send =
        call ? Serve(*call, request, uri) : HandleControl(request, uri);
  } catch (const std::exception& e) {
    Log(log_level::kWarning, "bad-request", {{"detail", e.what()}});
    reply_to_send = reply{400, {}, {}};
  }
  if (!reply_to_send) {
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    response.setKeepAlive(false);
    return;
  }
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply_to_send->status));
  if (!reply_to_send->etag.empty())
    response.set("Etag", reply_to_send->etag);
  if (reply_to_send->status >= 500)
    response.setKeepAlive(false);
  response.sendBuffer(reply_to_send->body.data(), reply_to_send->body.size());
}

std::optional<store_call> stand_in_handler::CallOf(const std::string& method,
                                                   const std::string& path) {
  const bool object = path.starts_with(kObjectsPath);
  if (object && method == "GET")
    return store_call::kGet;
  if (object && method == "PUT")
    return store_call::kPut;
  if (object && method == "DELETE")
    return store_call::kDelete;
  if (method != "GET")
    return std::nullopt;
  if (path == "/v1/objects")
    return store_call::kList;
  if (path == "/v1/watch")
    return store_call::kWatch;
  if (path == "/v1/instances")
    return store_call::kInstances;
  return std::nullopt;
}

std::optional<stand_in_handler::reply> stand_in_handler::Serve(
    store_call call,
    Poco::Net::HTTPServerRequest& request,
    const Poco::URI& uri) {
  ++faults_.calls[static_cast<std::size_t>(call)];
  if (const int slow = faults_.slow_ms; slow > 0)
    std::this_thread::sleep_for(milliseconds(slow));
  // In the platform's protocol, 503 guarantees that the call had no effect.
  const reply unavailable{503, {}, {}};
  if (faults_.down)
    return unavailable;
  if (IsWrite(call) && ConsumeFault(faults_.drop_requests))
    return std::nullopt;
  auto reply_to_send = Execute(call, request, uri);
  if (IsWrite(call) && ConsumeFault(faults_.drop_responses))
    return std::nullopt;
  // A watch that was waiting when the platform went down fails at once.
  if (call == store_call::kWatch && faults_.down)
    return unavailable;
  return reply_to_send;
}

stand_in_handler::reply stand_in_handler::Execute(
    store_call call,
    Poco::Net::HTTPServerRequest& request,
    const Poco::URI& uri) {
  const auto key = StripPrefix(uri.getPath(), kObjectsPath);
  const auto expected = ParseNumber(request.get("If-Match", "0"));
  switch (call) {
    case store_call::kGet: {
      auto got = objects_.Get(key);
      if (!got)
        return {StatusOf(got.error()), {}, {}};
      return {200, std::move(got.value().value),
              std::to_string(got.value().version)};
    }
    case store_call::kPut: {
      const auto put = objects_.Put(key, ReadBody(request), expected);
      if (!put)
        return {StatusOf(put.error()), {}, {}};
      return {200, fmt::format("{{\"version\":{}}}", put.value()), {}};
    }
    case store_call::kDelete: {
      const auto deleted = objects_.Delete(key, expected);
      return {deleted ? 200 : StatusOf(deleted.error()), {}, {}};
    }
    case store_call::kList:
    case store_call::kLaggingList:
      return {
          200,
          WriteObjects(objects_.List(QueryParameter(uri, "prefix")).value()),
          {}};
    case store_call::kWatch: {
      const auto wait = std::min<std::uint64_t>(
          ParseNumber(QueryParameter(uri, "wait_ms")), kMaxWatchWaitMs);
      const auto batch =
          objects_.Watch(QueryParameter(uri, "prefix"),
                         {ParseNumber(QueryParameter(uri, "after")),
                          ParseNumber(QueryParameter(uri, "era"))},
                         milliseconds(wait));
      return {200, WriteBatch(batch.value()), {}};
    }
    case store_call::kInstances:
      return {200, WriteInstances(objects_.Instances().value()), {}};
  }
  return {404, {}, {}};
}

stand_in_handler::reply stand_in_handler::HandleControl(
    Poco::Net::HTTPServerRequest& request,
    const Poco::URI& uri) {
  const auto& method = request.getMethod();
  const auto& path = uri.getPath();
  if (method == "POST" && path == "/v1/faults")
    return SetFaults(ReadBody(request));
  if (method == "GET" && path == "/v1/calls")
    return CallCounts();
  if (path.starts_with(kInstancesPath) && method == "DELETE") {
    objects_.RemoveInstance(StripPrefix(path, kInstancesPath));
    return {};
  }
  if (path.starts_with(kInstancesPath) && method == "PUT") {
    auto instance = ReadInstance(ReadBody(request));
    if (!instance)
      return {400, {}, {}};
    instance.value().name = StripPrefix(path, kInstancesPath);
    objects_.SetInstance(instance.value());
    return {};
  }
  return {404, {}, {}};
}

stand_in_handler::reply stand_in_handler::SetFaults(const std::string& body) {
  const auto json = ParseObject(body);
  if (json.isNull())
    return {400, {}, {}};
  faults_.down = json->optValue("down", faults_.down.load());
  faults_.slow_ms = json->optValue("slow_ms", faults_.slow_ms.load());
  faults_.drop_responses =
      json->optValue("lose_answers", faults_.drop_responses.load());
  faults_.drop_requests =
      json->optValue("lose_requests", faults_.drop_requests.load());
  if (json->has("instance_lag_ms"))
    objects_.SetInstanceLag(milliseconds(json->optValue("instance_lag_ms", 0)));
  objects_.SetWatchesInterrupted(faults_.down);
  return {};
}

stand_in_handler::reply stand_in_handler::CallCounts() const {
  std::string text;
  for (const auto& [call, name] : kStoreCallNames) {
    text += fmt::format("{}\"{}\":{}", text.empty() ? "" : ",", name,
                        faults_.calls[static_cast<std::size_t>(call)].load());
  }
  return {200, "{" + text + "}", {}};
}

}  // namespace samphire
