#ifndef TARGET_WORKER_SERVER_H_
#define TARGET_WORKER_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "worker.h"

namespace samphire {

// Serves one worker over HTTP and restarts it after a crash.
class worker_server {
 public:
  worker_server(worker& worker, Poco::ThreadPool& threads);
  ~worker_server();

  // Breaks every connection and listens no more. The threads that served them
  // must be joined before this and the worker go.
  void Stop();

  // IP:PORT, with the port that was taken.
  const std::string& address() const { return address_; }

 private:
  std::unique_ptr<Poco::Net::HTTPServer> Listen();
  void Crash();
  void RestartAfterCrashes();

  worker& worker_;
  Poco::ThreadPool& threads_;
  std::string address_;
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;

  std::mutex lock_;
  std::condition_variable changed_;
  bool crashed_ = false;
  bool stopping_ = false;
  std::thread restarter_;
};

}  // namespace samphire

#endif  // TARGET_WORKER_SERVER_H_
