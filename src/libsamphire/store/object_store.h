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

// The platform's object API. Calls block; errors are kStoreUnreachable (the
// call did not take effect), kStoreOutcomeUnknown (it may have),
// kStoreConflict, kStoreNotFound, kStoreValueTooLarge and kStoreRefused.
class object_store : public object_watcher {
 public:
  virtual result<store_object> Get(const std::string& key) = 0;

  // Writes if the object's version is `expected` (0: it must not exist) and
  // returns the new version.
  virtual result<std::uint64_t> Put(const std::string& key,
                                    const std::string& value,
                                    std::uint64_t expected) = 0;
  virtual result<void> Delete(const std::string& key,
                              std::uint64_t expected) = 0;
  virtual result<std::vector<store_object>> List(const std::string& prefix) = 0;

  virtual result<std::vector<instance_info>> Instances() = 0;
};

}  // namespace samphire

#endif  // STORE_OBJECT_STORE_H_
