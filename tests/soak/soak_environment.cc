#include "soak/soak_environment.h"

#include <cstdlib>

namespace samphire {

int ReadSoakEnvironment(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

}  // namespace samphire
