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

// Answers one request of the platform's protocol.
class stand_in_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  stand_in_handler(stand_in_objects& objects, stand_in_faults& faults)
      : objects_(objects), faults_(faults) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // An answer before it is sent.
  struct reply {
    int status = 200;
    std::string body;
    std::string etag;
  };

  static std::optional<store_call> CallOf(const std::string& method,
                                          const std::string& path);
  // Runs a counted call under the faults; empty: the connection is cut.
  std::optional<reply> Serve(store_call call,
                             Poco::Net::HTTPServerRequest& request,
                             const Poco::URI& uri);
  reply Run(store_call call,
            Poco::Net::HTTPServerRequest& request,
            const Poco::URI& uri);
  // The stand-in's own calls: instances, faults, counts.
  reply Control(Poco::Net::HTTPServerRequest& request, const Poco::URI& uri);
  reply SetFaults(const std::string& body);
  reply CallCounts() const;

  stand_in_objects& objects_;
  stand_in_faults& faults_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_HANDLER_H_
