#ifndef CONFIG_UNIQUE_NAMES_H_
#define CONFIG_UNIQUE_NAMES_H_

#include <set>
#include <string>

#include "base/result.h"

namespace samphire {

// Takes names one by one and refuses the second of two equal ones.
class unique_names {
 public:
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
