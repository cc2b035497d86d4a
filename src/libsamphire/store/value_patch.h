#ifndef STORE_VALUE_PATCH_H_
#define STORE_VALUE_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/result.h"

namespace samphire {

// The difference between two versions of an object's value, compressed. Its
// size follows the size of the change.
struct value_patch {
  // The object's version to which the patch applies; 0 if it contains the whole
  // value.
  std::uint64_t base_version = 0;
  std::string bytes;
};

// Minimum size of a value, in bytes, for which a patch is made.
inline constexpr std::size_t kMinPatchedBytes = 4096;
// Maximum size of a value, in bytes, that a patch may produce.
inline constexpr std::size_t kMaxPatchedValueBytes = std::size_t{2} << 20U;

// Returns the patch that turns `base` into `value`.
value_patch MakePatch(std::uint64_t base_version,
                      const std::string& base,
                      const std::string& value);

// Returns the value that `patch` makes of `base`. Fails with kPeerMalformed if
// the patch is damaged or was made for another base.
result<std::string> ApplyPatch(const value_patch& patch,
                               const std::string& base);

}  // namespace samphire

#endif  // STORE_VALUE_PATCH_H_
