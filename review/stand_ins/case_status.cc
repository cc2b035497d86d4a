#include "case_status.h"

#include <cstdlib>
#include <string>

namespace review {

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
