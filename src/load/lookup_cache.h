#ifndef LOAD_LOOKUP_CACHE_H_
#define LOAD_LOOKUP_CACHE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/sharded.h"
#include "history/history_writer.h"
#include "keep_alive_pool.h"

namespace samphire {

// Client-side cache of the entries that a caller should use. Queries a known
// entry, caches its response for the TTL that it states, and goes on using an
// expired response while no entry responds. Thread-safe; concurrent callers may
// query for the same key at once. Records the configuration version of each
// response in the history.
class lookup_cache {
 public:
  // `known_entries` are the IP:PORTs to query until a look-up succeeds, and
  // afterwards if no entry of the cached response answers. The pool and the
  // history writer must outlive this object.
  lookup_cache(std::vector<std::string> known_entries,
               keep_alive_pool& pool,
               history_writer& history);

  // Returns the IP:PORTs of the entries to use, in order of preference, for
  // requests to `service` from the local address `source`; empty if no look-up
  // has succeeded yet. Blocks while it queries entries.
  std::vector<std::string> EntriesFor(const std::string& source,
                                      const std::string& service);

  // Look-ups attempted at entries, and those of them that failed.
  std::uint64_t calls() const { return calls_; }
  std::uint64_t failures() const { return failures_; }

 private:
  struct cached_lookup {
    std::vector<std::string> entries;
    time_point expires_at;
  };
  struct shard_state {
    std::map<std::string, cached_lookup> cached;
  };

  // Returns whether `entry` responded with entries, and if so updates `answer`.
  bool QueryEntry(const std::string& entry,
                  const std::string& source,
                  const std::string& service,
                  cached_lookup& answer);

  const std::vector<std::string> known_entries_;
  keep_alive_pool& pool_;
  history_writer& history_;
  // Offset into `known_entries_` for the next round of queries.
  std::atomic<std::uint64_t> next_{0};
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> failures_{0};
  sharded<shard_state, 64> shards_;
};

}  // namespace samphire

#endif  // LOAD_LOOKUP_CACHE_H_
