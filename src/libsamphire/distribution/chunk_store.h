#ifndef DISTRIBUTION_CHUNK_STORE_H_
#define DISTRIBUTION_CHUNK_STORE_H_

#include <string>
#include <vector>

#include "distribution/config_chunk.h"
#include "distribution/publish_options.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Chunks in the platform.
class chunk_store {
 public:
  chunk_store(object_store& store,
              const publish_options& options,
              metrics& metrics);

  result<std::vector<std::string>> Fetch(const std::vector<std::string>& refs);
  // Writes a chunk that is not there yet, or finds that it is.
  result<void> Write(const config_chunk& chunk);
  // Deletes chunks that nothing names; what is gone already counts as done.
  result<void> Remove(const std::vector<std::string>& refs);

 private:
  result<void> RemoveOne(const std::string& ref);

  object_store& store_;
  const publish_options& options_;
  metrics& metrics_;
};

// The refs in the text of a chunk that lists dropped ones, one a line.
std::vector<std::string> ReadRefs(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CHUNK_STORE_H_
