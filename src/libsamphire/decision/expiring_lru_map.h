#ifndef DECISION_EXPIRING_LRU_MAP_H_
#define DECISION_EXPIRING_LRU_MAP_H_

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// A hash map with a bounded number of entries: it evicts entries that were not
// touched for `lifetime`, and the least recently touched entry when it exceeds
// `capacity`. Not thread-safe.
template <typename K, typename V>
class expiring_lru_map {
 public:
  expiring_lru_map(std::size_t capacity, duration lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}

  // Returns the value of `key`, or null. Doesn't count as a touch.
  V* Find(const K& key, time_point now) {
    EvictExpired(now);
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.value;
  }

  // Returns the value of `key`, adding it if it is absent, and makes it the
  // most recently touched. `added` is set to whether it is new.
  V& Touch(const K& key, time_point now, bool* added = nullptr) {
    EvictExpired(now);
    const auto [found, is_new] = entries_.try_emplace(key);
    if (!is_new)
      by_age_.erase(found->second.age);
    found->second.age = by_age_.insert(by_age_.end(), key);
    found->second.touched = now;
    if (entries_.size() > capacity_)
      EvictOldest();
    if (added != nullptr)
      *added = is_new;
    return found->second.value;
  }

  // Returns whether there was such an entry.
  bool Erase(const K& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end())
      return false;
    by_age_.erase(found->second.age);
    entries_.erase(found);
    return true;
  }

  // Evicts the entries that were last touched more than `lifetime` before
  // `now`.
  void EvictExpired(time_point now) {
    while (!by_age_.empty() &&
           now - entries_.at(by_age_.front()).touched > lifetime_)
      EvictOldest();
  }

  // Calls `use` with the key and the value of each entry. `use` must not access
  // this map.
  template <typename F>
  void ForEach(F use) {
    for (auto& [key, each] : entries_)
      use(key, each.value);
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    V value{};
    time_point touched;
    typename std::list<K>::iterator age;
  };

  void EvictOldest() {
    entries_.erase(by_age_.front());
    by_age_.pop_front();
  }

  std::size_t capacity_;
  duration lifetime_;
  std::unordered_map<K, entry> entries_;
  // Keys in the order of their last touch, the oldest first.
  std::list<K> by_age_;
};

}  // namespace samphire

#endif  // DECISION_EXPIRING_LRU_MAP_H_
