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

// HTTP server of one simulated target; restarts it after a crash. Constructed,
// stopped and destroyed by one thread; requests run on threads of the pool.
class worker_server {
 public:
  // Listens at the address of the target's identity. Throws a Poco::Exception
  // if that fails.
  worker_server(worker& worker, Poco::ThreadPool& threads);
  ~worker_server();

  // Closes every connection and stops listening. The pool's threads must be
  // joined before this object and the worker are destroyed.
  void Stop();

  // IP:PORT, with the actual port if a free one was requested.
  const std::string& address() const { return address_; }

 private:
  std::unique_ptr<Poco::Net::HTTPServer> Listen();
  // Simulates a crash; called on the thread of a request.
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
