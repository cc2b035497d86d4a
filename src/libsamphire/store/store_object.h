#ifndef STORE_STORE_OBJECT_H_
#define STORE_STORE_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire {

// Bounds on an object, in bytes. They are those of the messages in which
// entries tell each other of objects: a larger one would make the whole message
// fail.
inline constexpr std::size_t kMaxObjectKeyBytes = 1024;
inline constexpr std::size_t kMaxObjectValueBytes = 2U << 20U;

// An object of the platform and its version, which increases with every write.
struct store_object {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

}  // namespace samphire

#endif  // STORE_STORE_OBJECT_H_
