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

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kInstances = "/v1/instances/";
constexpr long long kMaxWatchMs = 60'000;

std::string Body(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

std::string Parameter(const Poco::URI& uri, std::string_view name) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name)
      return value;
  }
  return {};
}

std::uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

std::string After(const std::string& path, std::string_view prefix) {
  return path.substr(std::min(path.size(), prefix.size()));
}

int StatusOf(const error& why) {
  return InfoOf(why.code).http_status;
}

// Takes one of the faults that are left, if any is.
bool TakeOne(std::atomic<int>& left) {
  int present = left.load();
  while (present > 0 && !left.compare_exchange_weak(present, present - 1)) {
  }
  return present > 0;
}

}  // namespace

void stand_in_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response) {
  std::optional<reply> answer;
  try {
    const Poco::URI uri(request.getURI());
    const auto call = CallOf(request.getMethod(), uri.getPath());
    answer = call ? Serve(*call, request, uri) : Control(request, uri);
  } catch (const std::exception& e) {
    Log(log_level::kWarning, "bad-request", {{"detail", e.what()}});
    answer = reply{400, {}, {}};
  }
  if (!answer) {
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    response.setKeepAlive(false);
    return;
  }
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer->status));
  if (!answer->etag.empty())
    response.set("Etag", answer->etag);
  if (answer->status >= 500)
    response.setKeepAlive(false);
  response.sendBuffer(answer->body.data(), answer->body.size());
}

std::optional<store_call> stand_in_handler::CallOf(const std::string& method,
                                                   const std::string& path) {
  const bool object = path.starts_with(kObjects);
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
  // The protocol's 503: refused before anything was done.
  const reply unavailable{503, {}, {}};
  if (faults_.down)
    return unavailable;
  if (Writes(call) && TakeOne(faults_.lose_requests))
    return std::nullopt;
  auto answer = Run(call, request, uri);
  if (Writes(call) && TakeOne(faults_.lose_answers))
    return std::nullopt;
  // A watch that waited while the platform went down learns of it at once.
  if (call == store_call::kWatch && faults_.down)
    return unavailable;
  return answer;
}

stand_in_handler::reply stand_in_handler::Run(
    store_call call,
    Poco::Net::HTTPServerRequest& request,
    const Poco::URI& uri) {
  const auto key = After(uri.getPath(), kObjects);
  const auto expected = Number(request.get("If-Match", "0"));
  switch (call) {
    case store_call::kGet: {
      auto got = objects_.Get(key);
      if (!got)
        return {StatusOf(got.error()), {}, {}};
      return {200, std::move(got.value().value),
              std::to_string(got.value().version)};
    }
    case store_call::kPut: {
      const auto put = objects_.Put(key, Body(request), expected);
      if (!put)
        return {StatusOf(put.error()), {}, {}};
      return {200, fmt::format("{{\"version\":{}}}", put.value()), {}};
    }
    case store_call::kDelete: {
      const auto gone = objects_.Delete(key, expected);
      return {gone ? 200 : StatusOf(gone.error()), {}, {}};
    }
    case store_call::kList:
    case store_call::kLaggingList:
      return {200,
              WriteObjects(objects_.List(Parameter(uri, "prefix")).value()),
              {}};
    case store_call::kWatch: {
      const auto wait = std::min<std::uint64_t>(
          Number(Parameter(uri, "wait_ms")), kMaxWatchMs);
      const auto batch =
          objects_.Watch(Parameter(uri, "prefix"),
                         Number(Parameter(uri, "after")), milliseconds(wait));
      return {200, WriteBatch(batch.value()), {}};
    }
    case store_call::kInstances:
      return {200, WriteInstances(objects_.Instances().value()), {}};
  }
  return {404, {}, {}};
}

stand_in_handler::reply stand_in_handler::Control(
    Poco::Net::HTTPServerRequest& request,
    const Poco::URI& uri) {
  const auto& method = request.getMethod();
  const auto& path = uri.getPath();
  if (method == "POST" && path == "/v1/faults")
    return SetFaults(Body(request));
  if (method == "GET" && path == "/v1/calls")
    return CallCounts();
  if (path.starts_with(kInstances) && method == "DELETE") {
    objects_.RemoveInstance(After(path, kInstances));
    return {};
  }
  if (path.starts_with(kInstances) && method == "PUT") {
    auto instance = ReadInstance(Body(request));
    if (!instance)
      return {400, {}, {}};
    instance.value().name = After(path, kInstances);
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
  faults_.lose_answers =
      json->optValue("lose_answers", faults_.lose_answers.load());
  faults_.lose_requests =
      json->optValue("lose_requests", faults_.lose_requests.load());
  if (json->has("instance_lag_ms"))
    objects_.SetInstanceLag(milliseconds(json->optValue("instance_lag_ms", 0)));
  objects_.SetWatchesCut(faults_.down);
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
