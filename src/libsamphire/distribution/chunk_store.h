#ifndef DISTRIBUTION_CHUNK_STORE_H_
#define DISTRIBUTION_CHUNK_STORE_H_

#include <string>
#include <vector>

#include "distribution/config_chunk.h"
#include "distribution/publish_options.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Reads, writes and deletes chunks in the platform's object store. Stateless,
// so it may be called from any thread; calls block for the time of the store's
// calls.
class chunk_store {
 public:
  // The arguments must outlive this object.
  chunk_store(object_store& store,
              const publish_options& options,
              metrics& metrics);

  // Returns the texts of the chunks in the order of `refs`, or the first error
  // of the store.
  result<std::vector<std::string>> Fetch(const std::vector<std::string>& refs);
  // Writes a chunk, or confirms that it is already stored. After transient
  // errors it is attempted up to publish_options::attempts times.
  result<void> Write(const config_chunk& chunk);
  // Deletes chunks that nothing refers to; chunks that are already gone count
  // as deleted. Stops at the first other error.
  result<void> Remove(const std::vector<std::string>& refs);

 private:
  result<void> RemoveOne(const std::string& ref);

  object_store& store_;
  const publish_options& options_;
  metrics& metrics_;
};

// Returns the refs in the text of a chunk that lists dropped refs, one a line.
std::vector<std::string> ReadRefs(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CHUNK_STORE_H_
