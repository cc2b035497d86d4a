#include "ctl/ctl_call.h"

#include <Poco/URI.h>

namespace samphire {

std::string PathSegment(const std::string& text) {
  std::string encoded;
  // Includes "/", "?" and "#", so that `text` cannot end the segment or the
  // path.
  Poco::URI::encode(text, "/?#%&=+;:@$, \"<>[]{}|\\^`", encoded);
  return encoded;
}

}  // namespace samphire
