#ifndef DISTRIBUTION_CONFIG_CHUNK_H_
#define DISTRIBUTION_CONFIG_CHUNK_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphire {

// A piece of the configuration: lines in order, each ended by '\n'. Never
// changed, so successive images share it.
struct config_chunk : boost::intrusive_ref_counter<config_chunk> {
  // DIGEST.SALT: the digest of the text, and the attempt that wrote it.
  std::string ref;
  std::string text;

  config_chunk(std::string r, std::string t)
      : ref(std::move(r)), text(std::move(t)) {}
};

using chunk_ptr = boost::intrusive_ptr<const config_chunk>;
// By digest: one image names a digest by one ref only.
using chunk_map = std::unordered_map<std::string, chunk_ptr>;

// 128 bits in hexadecimal: against accidental damage, not against forgery,
// which the platform's and the peers' own authentication prevents.
std::string ContentDigest(std::string_view text);

std::string MakeRef(const std::string& digest, std::uint64_t salt);
std::string DigestOf(std::string_view ref);
std::string ChunkKey(std::string_view ref);

// `text` as a chunk of its own.
chunk_ptr MakeChunk(std::string text, std::uint64_t salt);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_CHUNK_H_
