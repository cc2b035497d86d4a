#include "config/json_pointer.h"

namespace samphire {

std::string JsonPointerStep(std::string_view name) {
  std::string step = "/";
  for (const char letter : name) {
    if (letter == '~')
      step += "~0";
    else if (letter == '/')
      step += "~1";
    else
      step += letter;
  }
  return step;
}

}  // namespace samphire
