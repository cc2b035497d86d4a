#include "ctl/ctl_call.h"

#include <Poco/URI.h>

namespace samphire {

std::string PathSegment(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "/?#%&=+;:@$, \"<>[]{}|\\^`", encoded);
  return encoded;
}

}  // namespace samphire
