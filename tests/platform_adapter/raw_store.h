#ifndef TESTS_PLATFORM_ADAPTER_RAW_STORE_H_
#define TESTS_PLATFORM_ADAPTER_RAW_STORE_H_

#include <Poco/Net/ServerSocket.h>

#include <mutex>
#include <string>
#include <thread>

namespace samphire::platform {

// Answers each connection with the bytes that a test sets, and closes it.
// Thread-safe.
class raw_store {
 public:
  raw_store();

  // IP:PORT at which the store can be reached.
  std::string address() const { return listener_.address().toString(); }
  void SetAnswer(std::string answer);

 private:
  void ServeAll(const std::stop_token& stop);

  Poco::Net::ServerSocket listener_;
  std::mutex lock_;
  std::string answer_;
  std::jthread thread_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RAW_STORE_H_
