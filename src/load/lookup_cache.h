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

// Which entries a caller uses: asks an entry it knows, keeps the answer for as
// long as that allows, and keeps using an old one when nobody answers.
class lookup_cache {
 public:
  lookup_cache(std::vector<std::string> known_entries,
               keep_alive_pool& pool,
               history_writer& history);

  // The entries to use, in order; empty when none answered yet.
  std::vector<std::string> EntriesFor(const std::string& source,
                                      const std::string& service);

  std::uint64_t calls() const { return calls_; }
  std::uint64_t failures() const { return failures_; }

 private:
  struct kept_answer {
    std::vector<std::string> entries;
    time_point good_until;
  };
  struct shard_state {
    std::map<std::string, kept_answer> kept;
  };

  bool Ask(const std::string& entry,
           const std::string& source,
           const std::string& service,
           kept_answer& answer);

  const std::vector<std::string> known_entries_;
  keep_alive_pool& pool_;
  history_writer& history_;
  std::atomic<std::uint64_t> next_{0};
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> failures_{0};
  sharded<shard_state, 64> shards_;
};

}  // namespace samphire

#endif  // LOAD_LOOKUP_CACHE_H_
