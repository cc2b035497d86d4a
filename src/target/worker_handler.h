#ifndef TARGET_WORKER_HANDLER_H_
#define TARGET_WORKER_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include <functional>

#include "worker.h"

namespace samphire {

// Answers one request of one worker.
class worker_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  // `crash` is called when a request brings the worker down.
  worker_handler(worker& worker, std::function<void()> crash);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  bool HandleAdmin(Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response);
  void HandleWork(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);
  run_outcome SendAnswer(const request_order& order,
                         const worker::run& run,
                         history_time measured_us,
                         Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response);

  worker& worker_;
  std::function<void()> crash_;
};

}  // namespace samphire

#endif  // TARGET_WORKER_HANDLER_H_
