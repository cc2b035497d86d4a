#ifndef CONFIG_UNIQUE_NAMES_H_
#define CONFIG_UNIQUE_NAMES_H_

#include <set>
#include <string>

#include "base/result.h"

namespace samphire {

// Collects names and refuses duplicates.
class unique_names {
 public:
  // Adds `name`. Fails with kDuplicateName and the given JSON pointer if an
  // equal name was added before.
  result<void> Add(const std::string& name, const std::string& pointer) {
    if (seen_.insert(name).second)
      return Success();
    return MakeError(result_code::kDuplicateName, name, pointer);
  }

 private:
  std::set<std::string> seen_;
};

}  // namespace samphire

#endif  // CONFIG_UNIQUE_NAMES_H_
