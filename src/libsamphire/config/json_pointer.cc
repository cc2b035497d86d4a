#include "config/json_pointer.h"

namespace samphire {

std::string JsonPointerToken(std::string_view name) {
  std::string token = "/";
  for (const char letter : name) {
    if (letter == '~')
      token += "~0";
    else if (letter == '/')
      token += "~1";
    else
      token += letter;
  }
  return token;
}

}  // namespace samphire
