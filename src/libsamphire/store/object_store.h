#ifndef STORE_OBJECT_STORE_H_
#define STORE_OBJECT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "store/instance_info.h"
#include "store/object_watcher.h"
#include "store/store_object.h"

namespace samphire {

// The platform's object API. Calls block and may be made from any thread.
// Errors are kStoreUnreachable (the call had no effect), kStoreOutcomeUnknown
// (it may have had an effect), kStoreConflict, kStoreNotFound,
// kStoreValueTooLarge, kStoreRefused and kStoreCorrupt (the response could not
// be decoded).
class object_store : public object_watcher {
 public:
  // Returns the object; kStoreNotFound if it does not exist.
  virtual result<store_object> Get(const std::string& key) = 0;

  // Writes `value` if the current version is `expected` (0: the object must not
  // exist) and returns the new version; kStoreConflict otherwise.
  virtual result<std::uint64_t> Put(const std::string& key,
                                    const std::string& value,
                                    std::uint64_t expected) = 0;
  // Deletes the object if its version is `expected`; kStoreNotFound if it does
  // not exist, kStoreConflict if it has another version.
  virtual result<void> Delete(const std::string& key,
                              std::uint64_t expected) = 0;
  // Returns all objects whose keys begin with `prefix`.
  virtual result<std::vector<store_object>> List(const std::string& prefix) = 0;

  // Returns the instance list, which may lag behind reality.
  virtual result<std::vector<instance_info>> Instances() = 0;
};

}  // namespace samphire

#endif  // STORE_OBJECT_STORE_H_
