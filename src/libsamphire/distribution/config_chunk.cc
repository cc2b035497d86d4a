#include "distribution/config_chunk.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace samphire {

std::string ContentDigest(std::string_view text) {
  const auto hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

// The salt gives each attempt its own chunks. If the digest were the whole key,
// one operator's garbage collection could delete a chunk at the moment when
// another operator's change begins to refer to it again, and no entry could
// load that change. With the salt, a ref that was dropped is never named again.
std::string MakeRef(const std::string& digest, std::uint64_t salt) {
  return fmt::format("{}.{:016x}", digest, salt);
}

std::string DigestOf(std::string_view ref) {
  return std::string(ref.substr(0, ref.find('.')));
}

std::string ChunkKey(std::string_view ref) {
  return "config/chunk/" + std::string(ref);
}

chunk_ptr MakeChunk(std::string text, std::uint64_t salt) {
  auto ref = MakeRef(ContentDigest(text), salt);
  return {new config_chunk(std::move(ref), std::move(text))};
}

}  // namespace samphire
