#ifndef TARGET_WORKER_HANDLER_H_
#define TARGET_WORKER_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include <functional>

#include "worker.h"

namespace samphire {

// Handles one HTTP request to a simulated target, on the server thread of its
// connection. /load, /healthz, /admin/drain and /admin/undrain inspect and
// control the target; all other paths are requests that occupy a slot.
class worker_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  // `crash` is called on the handling thread when a request asks the target to
  // crash. `worker` must outlive the handler.
  worker_handler(worker& worker, std::function<void()> crash);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Returns false if the path is not one of the administrative ones.
  bool HandleAdmin(Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response);
  void HandleWork(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);
  // Returns kFinished only if it has ended the run itself.
  run_outcome SendResponse(const request_directives& directives,
                           const worker::run& run,
                           history_time measured_us,
                           Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response);

  worker& worker_;
  std::function<void()> crash_;
};

}  // namespace samphire

#endif  // TARGET_WORKER_HANDLER_H_
