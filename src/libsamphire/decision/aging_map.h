#ifndef DECISION_AGING_MAP_H_
#define DECISION_AGING_MAP_H_

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// A map that forgets entries untouched for `lifetime`, and the longest
// untouched ones when it is full.
template <typename K, typename V>
class aging_map {
 public:
  aging_map(std::size_t capacity, duration lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}

  // The entry of `key`, or null; not a touch.
  V* Find(const K& key, time_point now) {
    Forget(now);
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.value;
  }

  // The entry of `key`, made if need be, as the last touched. `added` tells
  // whether it is new.
  V& Touch(const K& key, time_point now, bool* added = nullptr) {
    Forget(now);
    const auto [found, is_new] = entries_.try_emplace(key);
    if (!is_new)
      by_age_.erase(found->second.age);
    found->second.age = by_age_.insert(by_age_.end(), key);
    found->second.touched = now;
    if (entries_.size() > capacity_)
      DropOldest();
    if (added != nullptr)
      *added = is_new;
    return found->second.value;
  }

  void Erase(const K& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end())
      return;
    by_age_.erase(found->second.age);
    entries_.erase(found);
  }

  void Forget(time_point now) {
    while (!by_age_.empty() &&
           now - entries_.at(by_age_.front()).touched > lifetime_)
      DropOldest();
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    V value{};
    time_point touched;
    typename std::list<K>::iterator age;
  };

  void DropOldest() {
    entries_.erase(by_age_.front());
    by_age_.pop_front();
  }

  std::size_t capacity_;
  duration lifetime_;
  std::unordered_map<K, entry> entries_;
  std::list<K> by_age_;
};

}  // namespace samphire

#endif  // DECISION_AGING_MAP_H_
