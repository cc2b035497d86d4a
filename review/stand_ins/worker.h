#ifndef REVIEW_STAND_INS_WORKER_H_
#define REVIEW_STAND_INS_WORKER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http_connection.h"
#include "loopback.h"
#include "record.h"

namespace review {

// A run of a request at a worker.
struct run {
  std::string request_id;
  std::string worker;
  std::size_t body_bytes = 0;
  std::uint64_t body_digest = 0;
};

// Digest of a body, by which it is compared with what was sent.
std::uint64_t DigestOf(const std::string& body);

// The body with which any worker answers the request.
std::string AnswerBody(const std::string& request_id);

// A sound worker: answers 421 to requests for another instance, runs all others
// for a time that its owner sets, and drops a request when its connection
// closes. Thread-safe.
class worker {
 public:
  // Returns how long a request runs.
  using work_time =
      std::function<std::chrono::milliseconds(const http_message& request)>;

  worker(std::string id,
         std::string service,
         std::string zone,
         record& events,
         work_time work);
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  const std::string& id() const { return id_; }
  const std::string& address() const { return listener_.address; }
  // The `spec` that the worker writes to the store; `state` is ready or
  // draining.
  std::string Object(const std::string& state = "ready") const;
  // From now on the worker breaks off every `one_in`-th of its answers, each
  // after another line of the head, and closes the connection; 0 ends that.
  void BreakOff(int one_in) { break_off_one_in_ = one_in; }
  // From now on the worker says in its answers that it closes connections.
  void Leave() { leaving_ = true; }
  // Ends as a process that exits or is killed does: its listener is gone and
  // all its connections are closed.
  void Crash();
  std::vector<run> runs();

 private:
  void Accept();
  void Serve(http_connection& connection);
  // Runs the request. Returns false if the connection closed meanwhile.
  bool Run(const http_message& request, const http_connection& connection);
  std::string Respond(const http_message& request) const;
  // Sends an answer, or part of it. Returns whether the connection stays open.
  bool SendAnswer(const std::string& request_id,
                  const std::string& answer,
                  const http_connection& connection);

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const listening_socket listener_;
  record& events_;
  const work_time work_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> break_off_one_in_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> broken_off_{0};
  std::atomic<bool> ended_{false};
  std::mutex lock_;
  // Connections that are open, each served by a thread.
  std::list<std::shared_ptr<http_connection>> connections_;
  std::vector<run> runs_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_WORKER_H_
