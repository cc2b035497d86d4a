#ifndef TRAFFIC_HANDLER_FACTORY_H_
#define TRAFFIC_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <utility>

namespace samphire {

// Creates the request handlers of one port by calling a function. The server
// calls it from its connection threads, so the function must be thread-safe,
// and takes ownership of each handler.
class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  using maker = std::function<Poco::Net::HTTPRequestHandler*(
      const Poco::Net::HTTPServerRequest&)>;

  explicit handler_factory(maker make) : make_(std::move(make)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    return make_(request);
  }

 private:
  maker make_;
};

}  // namespace samphire

#endif  // TRAFFIC_HANDLER_FACTORY_H_
