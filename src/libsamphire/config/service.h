#ifndef CONFIG_SERVICE_H_
#define CONFIG_SERVICE_H_

#include <string>
#include <vector>

#include "config/request_class.h"
#include "config/target.h"

namespace samphire {

// A service: the classes of its requests and the targets that run them.
struct service {
  std::string name;
  std::vector<request_class> classes;
  std::vector<target> targets;

  bool operator==(const service&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_SERVICE_H_
