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

// The platform's object API in memory, with the faults it is known for.
class fake_object_store final : public object_store {
 public:
  result<store_object> Get(const std::string& key) override;
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override;
  result<void> Delete(const std::string& key, std::uint64_t expected) override;
  result<std::vector<store_object>> List(const std::string& prefix) override;
  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait) override;
  result<std::vector<instance_info>> Instances() override;

  // Every call fails with kStoreUnreachable until set back.
  void SetDown(bool down);
  // The next `count` writes take effect, but answer kStoreOutcomeUnknown.
  void LoseNextAnswers(int count);
  // The next `count` writes answer kStoreOutcomeUnknown and change nothing.
  void LoseNextRequests(int count);
  // Runs before the next write is judged, without the lock: a rival's move.
  void BeforeNextWrite(std::function<void()> move);
  void SetInstances(std::vector<instance_info> instances);

  int reads() const;
  int writes() const;

 private:
  struct logged_event {
    std::uint64_t cursor = 0;
    store_event event;
  };

  enum class write_fate { kNormal, kAnswerLost, kRequestLost };

  write_fate NextFate();
  void Record(const std::string& key, std::uint64_t version);
  void RunRivalMove();

  mutable std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, store_object> objects_;
  std::vector<logged_event> log_;
  std::vector<instance_info> instances_;
  std::function<void()> rival_move_;
  std::uint64_t revision_ = 1;
  bool down_ = false;
  int answers_to_lose_ = 0;
  int requests_to_lose_ = 0;
  int reads_ = 0;
  int writes_ = 0;
};

}  // namespace samphire

#endif  // SUPPORT_FAKE_OBJECT_STORE_H_
