#ifndef REVIEW_STAND_INS_2_WORKER_H_
#define REVIEW_STAND_INS_2_WORKER_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "http_link.h"
#include "record.h"

namespace review {

// A request that a worker has run.
struct worker_run {
  std::string worker;
  std::string id;
  // Method, path and version.
  std::string start_line;
  header_list headers;
  std::string body;
};

// A sound server of the platform: it serves one request at a time on a
// connection, checks `Target-Instance`, refuses what is no HTTP/1.1 and answers
// everything else with success. Thread-safe.
class worker {
 public:
  // `extra_headers` returns the application's own headers of a response.
  worker(std::string id,
         std::string service,
         record& log,
         std::function<header_list(const http_message&)> extra_headers = {});

  const std::string& id() const { return id_; }
  // What it writes to the platform's store, without `metadata`.
  std::string StoreContent(const std::string& zone) const;
  std::vector<worker_run> runs();
  // The body with which it answers a request.
  static std::string AnswerBody(const std::string& id,
                                const std::string& request_body);

 private:
  void Serve(http_link link);
  std::string Run(const http_message& request);

  const std::string id_;
  const std::string service_;
  record& log_;
  std::function<header_list(const http_message&)> extra_headers_;
  std::mutex lock_;
  std::vector<worker_run> runs_;
  // Serves requests from here on, so that it comes last.
  http_listener listener_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_WORKER_H_
