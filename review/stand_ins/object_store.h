#ifndef REVIEW_STAND_INS_OBJECT_STORE_H_
#define REVIEW_STAND_INS_OBJECT_STORE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http_connection.h"
#include "loopback.h"
#include "record.h"

namespace review {

// How far behind the copies of the store are that answer calls which allow
// stale data: the one that has the names of the first page, and that of the
// others.
using copy_lags = std::vector<std::chrono::milliseconds>;

// The platform's store: serves its listings and watches, and keeps its whole
// history. Entries write nothing; a call that would is refused. Thread-safe.
class object_store {
 public:
  object_store(record& events, std::size_t page_size, copy_lags lags);
  ~object_store();
  object_store(const object_store&) = delete;
  object_store& operator=(const object_store&) = delete;

  const std::string& address() const { return listener_.address; }
  // Creates or replaces an object, as the operator or a worker does. `value`
  // holds its `spec`. Returns its revision.
  std::uint64_t Write(const std::string& key, const std::string& value);
  std::uint64_t Remove(const std::string& key);

 private:
  struct change {
    std::string key;
    // With metadata; of a removed object the last one.
    std::string object;
    bool removed = false;
    std::chrono::steady_clock::time_point at;
  };
  struct session {
    std::unique_ptr<http_connection> connection;
    std::thread thread;
  };
  struct reply {
    int status = 200;
    std::string body;
  };

  void Accept();
  void Serve(http_connection& connection);
  reply Answer(const http_message& request);
  reply List(const std::string& kind,
             std::map<std::string, std::string>& query);
  reply Watch(const std::string& kind,
              std::map<std::string, std::string>& query);
  std::uint64_t Append(change added);
  // Revision that a copy has which is behind by `lag`.
  std::uint64_t StaleRevision(std::chrono::milliseconds lag) const;

  record& events_;
  const std::size_t page_size_;
  const copy_lags lags_;
  const listening_socket listener_;
  std::atomic<bool> ended_{false};
  std::mutex lock_;
  std::condition_variable changed_;
  // The change with revision N has index N - 1.
  std::vector<change> changes_;
  std::map<std::string, std::string> values_;
  std::list<session> sessions_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_OBJECT_STORE_H_
