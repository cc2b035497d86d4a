#include "platform_adapter/stand_in_platform.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <map>
#include <sstream>
#include <vector>

#include "store/store_json.h"
#include "traffic/handler_factory.h"

namespace samphire::platform {

namespace {

const std::string kObjectsUriPrefix = "/samphirewinch/objects/";

// Returns the JSON of an object as the platform sends it: with its name and its
// revision.
std::string WithMetadata(const store_object& object) {
  const auto name = object.key.substr(object.key.find('/') + 1);
  const auto json = ParseObject(object.value);
  Poco::JSON::Object whole(*json);
  Poco::JSON::Object::Ptr meta = new Poco::JSON::Object;
  meta->set("name", name);
  meta->set("rev", object.version);
  whole.set("metadata", meta);
  std::ostringstream out;
  whole.stringify(out);
  return out.str();
}

struct http_reply {
  int status = 200;
  std::string body;
};

}  // namespace

class stand_in_platform_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit stand_in_platform_handler(stand_in_platform& stand_in)
      : platform_(stand_in) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    ++platform_.calls;
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const auto reply = Serve(request, body);
    if (request.getMethod() != "GET" && platform_.lose_write_responses > 0) {
      --platform_.lose_write_responses;
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    response.setContentType("application/json");
    response.set("Store-Era", std::to_string(platform_.objects_.era()));
    response.sendBuffer(reply.body.data(), reply.body.size());
  }

 private:
  http_reply Serve(const Poco::Net::HTTPServerRequest& request,
                   const std::string& body) {
    if (platform_.refuse_with != 0)
      return {platform_.refuse_with, "{}"};
    const Poco::URI uri(request.getURI());
    const auto key = uri.getPath().substr(kObjectsUriPrefix.size());
    std::map<std::string, std::string> query;
    for (const auto& [name, value] : uri.getQueryParameters())
      query[name] = value;
    const bool listing = key.find('/') == std::string::npos;
    if (request.getMethod() != "GET")
      return Write(request.getMethod(), key, query, body);
    if (!listing) {
      const auto got = platform_.objects_.Get(key);
      return got ? http_reply{200, WithMetadata(got.value())}
                 : http_reply{404, "{}"};
    }
    return query.contains("watch")
               ? Watch(key + "/", query)
               : List(key + "/", query["after"], query["allowStale"] == "1");
  }

  http_reply List(const std::string& prefix,
                  const std::string& after,
                  bool may_be_stale) {
    const auto* source =
        platform_.page_source ? platform_.page_source(may_be_stale) : nullptr;
    const auto shown =
        source != nullptr ? *source : platform_.objects_.MakeCopy();
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, object] : shown.objects) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= prefix + after))
        continue;
      if (count == platform_.page_size) {
        more = true;
        break;
      }
      items += (count++ > 0 ? "," : "") + WithMetadata(object);
    }
    return {200, fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":{}}})",
                             items, more, shown.revision)};
  }

  http_reply Watch(const std::string& prefix,
                   std::map<std::string, std::string>& query) {
    if (platform_.history_gone.exchange(false))
      return {410, "{}"};
    const auto batch = platform_.objects_
                           .Watch(prefix, std::stoull(query["watch"]),
                                  milliseconds(std::stol(query["waitMs"])))
                           .value();
    if (batch.reset)
      return {410, "{}"};
    std::string events;
    for (const auto& event : batch.events) {
      const bool gone = event.version == 0;
      const auto got = platform_.objects_.Get(event.key);
      const store_object object =
          got ? got.value() : store_object{event.key, 1, R"({"spec":null})"};
      events +=
          fmt::format(R"({}{{"deleted":{},"object":{}}})",
                      events.empty() ? "" : ",", gone, WithMetadata(object));
    }
    return {200, fmt::format(R"({{"events":[{}],"asOf":{}}})", events,
                             batch.cursor.revision)};
  }

  http_reply Write(const std::string& method,
                   const std::string& path,
                   std::map<std::string, std::string>& query,
                   const std::string& body) {
    if (method == "DELETE") {
      const auto gone =
          platform_.objects_.Delete(path, std::stoull(query["rev"]));
      return gone ? http_reply{200, "{}"} : http_reply{409, "{}"};
    }
    const auto json = ParseObject(body);
    const auto meta = json->getObject("metadata");
    const bool create = method == "POST";
    const auto key =
        create ? path + "/" + meta->getValue<std::string>("name") : path;
    const auto expected = create ? 0 : meta->getValue<Poco::UInt64>("rev");
    const auto written = platform_.objects_.Put(key, body, expected);
    if (!written)
      return {409, "{}"};
    return {200, WithMetadata({key, written.value(), body})};
  }

  stand_in_platform& platform_;
};

stand_in_platform::stand_in_platform() : objects_(clock_), threads_(2, 64) {
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(64);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        return new stand_in_platform_handler(*this);
      }),
      threads_, socket, params);
  server_->start();
}

stand_in_platform::~stand_in_platform() {
  objects_.SetWatchesInterrupted(true);
  server_->stopAll(true);
  threads_.joinAll();
}

std::string stand_in_platform::address() const {
  return server_->socket().address().toString();
}

void stand_in_platform::Write(const std::string& key,
                              const std::string& value) {
  const auto got = objects_.Get(key);
  const auto written = objects_.Put(key, value, got ? got.value().version : 0);
  if (!written)
    throw std::runtime_error("stand-in write failed: " + key);
}

void stand_in_platform::Remove(const std::string& key) {
  const auto gone = objects_.Delete(key, objects_.Get(key).value().version);
  if (!gone)
    throw std::runtime_error("stand-in delete failed: " + key);
}

}  // namespace samphire::platform
