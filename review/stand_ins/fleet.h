#ifndef REVIEW_STAND_INS_FLEET_H_
#define REVIEW_STAND_INS_FLEET_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry_process.h"
#include "object_store.h"
#include "record.h"
#include "worker.h"

namespace review {

// Where an entry runs.
struct placed_entry {
  std::string name;
  std::string zone;
};

// A small deployment: entries as processes of their own, the platform's store
// and workers as stand-ins in this process. Used by one thread.
class fleet {
 public:
  // Most objects in one page of a listing.
  static constexpr std::size_t kPageSize = 500;

  // `zones` maps each zone to its region; `bounds` is a JSON object.
  fleet(const std::vector<placed_entry>& entries,
        const std::map<std::string, std::string>& zones,
        const std::string& bounds,
        record& events,
        std::size_t page_size = kPageSize,
        copy_lags lags = {});
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Adds a machine, which starts at once. Returns its index.
  std::size_t Add(const placed_entry& added);
  // Registers a worker.
  void Register(const worker& one);
  // Removes the object of a worker that fell silent.
  void Expire(const worker& one);
  object_store& store() { return store_; }
  // Starts the entries. Returns whether all were ready within `timeout`.
  bool Start(std::chrono::seconds timeout);

  const std::string& front(std::size_t entry) const {
    return machines_[entry].front;
  }
  entry_process& process(std::size_t entry) { return *processes_[entry]; }
  // Status of the answer to the platform's question whether the entry is ready;
  // 0 without one.
  int AskReady(std::size_t entry) const;

 private:
  void StartProcess(const entry_machine& machine);

  const std::map<std::string, std::string> zones_;
  const std::string folder_;
  object_store store_;
  std::vector<entry_machine> machines_;
  installation installation_;
  std::vector<std::unique_ptr<entry_process>> processes_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_FLEET_H_
