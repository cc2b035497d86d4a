#ifndef TESTS_PLATFORM_ADAPTER_STAND_IN_PLATFORM_H_
#define TESTS_PLATFORM_ADAPTER_STAND_IN_PLATFORM_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/system_clock_source.h"
#include "store/stand_in_objects.h"

namespace samphire::platform {

// Test double of the platform's store: serves its HTTP protocol on a free local
// port, keeps the objects in memory (stand_in_objects), and injects faults on
// demand. Thread-safe.
class stand_in_platform {
 public:
  stand_in_platform();
  ~stand_in_platform();

  // IP:PORT at which the store can be reached.
  std::string address() const;
  // Creates or replaces an object, as the operator or a target would. Both
  // functions throw an exception if that fails.
  void Write(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Keeps a copy of all objects.
  void TakeCopy() { copy_ = objects_.MakeCopy(); }
  // Returns a copy of all objects.
  stand_in_objects::copy MakeCopy() { return objects_.MakeCopy(); }
  // Comes back from the last copy: what was written since is lost, and its
  // revisions are given out again.
  void RestoreCopy() { objects_.Restore(copy_); }

  // Drops the history of changes.
  void DropHistory() { objects_.DropHistory(); }

  // HTTP status with which every call is refused; 0 to serve calls.
  std::atomic<int> refuse_with = 0;
  // If set, the next watch is told that its history is gone, and the flag is
  // cleared.
  std::atomic<bool> history_gone = false;
  // Number of next writes that take effect but receive no response.
  std::atomic<int> lose_write_responses = 0;
  // Maximum number of objects in one page of a listing.
  std::atomic<std::size_t> page_size = 500;
  // Called before each page of a listing is served, with whether the page may
  // be stale. Returns the copy that the page shows; null for the objects as
  // they are. Set before the first call.
  std::function<const stand_in_objects::copy*(bool may_be_stale)> page_source;
  // Number of calls received.
  std::atomic<int> calls = 0;

 private:
  friend class stand_in_platform_handler;

  const system_clock_source clock_;
  stand_in_objects objects_;
  stand_in_objects::copy copy_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_STAND_IN_PLATFORM_H_
