#ifndef CONFIG_SERVICE_H_
#define CONFIG_SERVICE_H_

#include <string>
#include <vector>

#include "config/request_class.h"
#include "config/target.h"

namespace samphire {

struct service {
  std::string name;
  std::vector<request_class> classes;
  std::vector<target> targets;

  bool operator==(const service&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_SERVICE_H_
