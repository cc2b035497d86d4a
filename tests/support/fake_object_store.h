#ifndef SUPPORT_FAKE_OBJECT_STORE_H_
#define SUPPORT_FAKE_OBJECT_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace samphire {

// The platform's object store in memory, with simulated faults: unreachable,
// requests lost, responses lost, and conflicting writes. Thread-safe.
class fake_object_store final : public object_store {
 public:
  result<store_object> Get(const std::string& key) override;
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override;
  result<void> Delete(const std::string& key, std::uint64_t expected) override;
  result<std::vector<store_object>> List(const std::string& prefix) override;
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override;
  result<std::vector<instance_info>> Instances() override;

  // While set, every call fails with kStoreUnreachable.
  void SetDown(bool down);
  // The next `count` writes take effect but return kStoreOutcomeUnknown.
  void LoseNextResponses(int count);
  // The next `count` writes have no effect and return kStoreOutcomeUnknown.
  void LoseNextRequests(int count);
  // Calls `hook` once, before the next write compares versions and without the
  // lock, so that it can make a conflicting write.
  void BeforeNextWrite(std::function<void()> hook);
  // Keeps a copy of all objects, or goes back to it, as a store that was
  // restored from a backup: later writes are lost, and their revisions are
  // given out again.
  void MakeCopy();
  void Restore();
  // Sets the result of Instances().
  void SetInstances(std::vector<instance_info> instances);

  // Number of calls that read or write, failed ones included.
  int reads() const;
  int writes() const;

 private:
  // A change, with the store revision that it produced.
  struct logged_event {
    std::uint64_t cursor = 0;
    store_event event;
  };

  enum class write_fault { kNormal, kResponseLost, kRequestLost };

  // Returns the fault for the current write; requires the lock.
  write_fault NextWriteFault();
  // Logs a change of the current revision and wakes watches; requires the lock.
  void Record(const std::string& key, std::uint64_t version);
  void RunBeforeWriteHook();

  mutable std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, store_object> objects_;
  std::vector<logged_event> log_;
  std::vector<instance_info> instances_;
  std::function<void()> before_write_hook_;
  std::uint64_t revision_ = 1;
  std::map<std::string, store_object> copied_objects_;
  std::uint64_t copied_revision_ = 1;
  bool down_ = false;
  int responses_to_lose_ = 0;
  int requests_to_lose_ = 0;
  int reads_ = 0;
  int writes_ = 0;
};

}  // namespace samphire

#endif  // SUPPORT_FAKE_OBJECT_STORE_H_
