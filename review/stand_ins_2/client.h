#ifndef REVIEW_STAND_INS_2_CLIENT_H_
#define REVIEW_STAND_INS_2_CLIENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http_link.h"
#include "record.h"
#include "worker.h"

namespace review {

// A request as a client means it.
struct client_request {
  std::string method = "GET";
  std::string path;
  std::string id;
  header_list extra_headers = {};
  std::string body = {};
  // The name under which the length of the body is sent.
  std::string length_name = "Content-Length";
};

// A client of the platform that keeps its connection. Not thread-safe.
class client {
 public:
  client(const std::string& entry, record& log);

  // Sends the request and waits for the response; nothing if there is none.
  std::optional<http_message> Call(const client_request& request);
  // Reads what else the entry sends on the connection within `timeout_ms`.
  std::optional<http_message> ReadMore(int timeout_ms);
  // All requests that were sent, by id.
  const std::map<std::string, client_request>& sent() const { return sent_; }

 private:
  const std::string entry_;
  record& log_;
  std::optional<http_link> link_;
  std::map<std::string, client_request> sent_;
};

// Returns one line for each run of a request that no client sent, or that was
// run with another method, path or body than it was sent with.
std::vector<std::string> UnaskedRuns(
    const std::vector<worker_run>& runs,
    const std::map<std::string, client_request>& sent);

// Whether the response is a success with the worker's stamp and whole body.
bool IsServed(const std::optional<http_message>& response,
              const client_request& request);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_CLIENT_H_
