#ifndef STORE_STORE_OBJECT_H_
#define STORE_STORE_OBJECT_H_

#include <cstdint>
#include <string>

namespace samphire {

// An object of the platform and its version, which increases with every write.
struct store_object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

}  // namespace samphire

#endif  // STORE_STORE_OBJECT_H_
