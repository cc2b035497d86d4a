#ifndef STORE_STAND_IN_HANDLER_H_
#define STORE_STAND_IN_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <optional>
#include <string>

#include "store/stand_in_faults.h"
#include "store/stand_in_objects.h"

namespace samphire {

// Handles one request of the platform's protocol, on a thread of the HTTP
// server. `objects` and `faults` are shared by all handlers and must outlive
// them.
class stand_in_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  stand_in_handler(stand_in_objects& objects, stand_in_faults& faults)
      : objects_(objects), faults_(faults) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // A response before it is sent.
  struct reply {
    int status = 200;
    std::string body;
    std::string etag;
  };

  // Returns the kind of a call of the platform's protocol, or nothing for any
  // other request.
  static std::optional<store_call> CallOf(const std::string& method,
                                          const std::string& path);
  // Counts the call and executes it under the injected faults. Returns nothing
  // if the connection is to be closed without a response.
  std::optional<reply> Serve(store_call call,
                             Poco::Net::HTTPServerRequest& request,
                             const Poco::URI& uri);
  // Executes the call without faults.
  reply Execute(store_call call,
                Poco::Net::HTTPServerRequest& request,
                const Poco::URI& uri);
  // Handles the calls that control the stand-in itself: instances, faults, call
  // counters.
  reply HandleControl(Poco::Net::HTTPServerRequest& request,
                      const Poco::URI& uri);
  reply SetFaults(const std::string& body);
  reply CallCounts() const;

  stand_in_objects& objects_;
  stand_in_faults& faults_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_HANDLER_H_
