#ifndef CTL_FUNCTION_FACTORY_H_
#define CTL_FUNCTION_FACTORY_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <utility>

namespace samphire {

// Creates handlers that serve every request by one function. The function is
// called by several threads concurrently.
class function_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  using function = std::function<void(Poco::Net::HTTPServerRequest&,
                                      Poco::Net::HTTPServerResponse&)>;

  explicit function_factory(function serve) : serve_(std::move(serve)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new handler(serve_);
  }

 private:
  struct handler final : Poco::Net::HTTPRequestHandler {
    explicit handler(const function& f) : serve(f) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      serve(request, response);
    }
    const function& serve;
  };

  function serve_;
};

}  // namespace samphire

#endif  // CTL_FUNCTION_FACTORY_H_
