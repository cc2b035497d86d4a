#ifndef BASE_DEFLATE_H_
#define BASE_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>

namespace samphire {

// Returns `bytes` compressed in the zlib format.
std::string Deflate(const std::string& bytes);

// Returns the decompressed bytes. Returns nothing if `compressed` is malformed
// or truncated, or if the result exceeds `max_bytes`.
std::optional<std::string> Inflate(const std::string& compressed,
                                   std::size_t max_bytes);

}  // namespace samphire

#endif  // BASE_DEFLATE_H_
