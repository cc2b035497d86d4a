#ifndef DISTRIBUTION_CONFIG_CHUNK_H_
#define DISTRIBUTION_CONFIG_CHUNK_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphire {

// A piece of the stored configuration: sorted lines, each ended by '\n'.
// Immutable and reference-counted, so successive images share it across
// threads.
struct config_chunk : boost::intrusive_ref_counter<config_chunk> {
  // DIGEST.SALT: the digest of the text, and a number unique to the attempt
  // that wrote the chunk.
  std::string ref;
  std::string text;

  config_chunk(std::string r, std::string t)
      : ref(std::move(r)), text(std::move(t)) {}
};

using chunk_ptr = boost::intrusive_ptr<const config_chunk>;
// Chunks by digest; one image refers to a digest by one ref only.
using chunk_map = std::unordered_map<std::string, chunk_ptr>;

// Returns a 128-bit digest in hexadecimal. It detects accidental damage, not
// forgery, which the authentication of the platform and of the peers prevents.
std::string ContentDigest(std::string_view text);

// Composes a ref, extracts the digest of a ref, and returns the object key
// ("config/chunk/REF") of a ref.
std::string MakeRef(const std::string& digest, std::uint64_t salt);
std::string DigestOf(std::string_view ref);
std::string ChunkKey(std::string_view ref);

// Returns a new chunk with `text` and a ref with its digest and `salt`.
chunk_ptr MakeChunk(std::string text, std::uint64_t salt);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_CHUNK_H_
