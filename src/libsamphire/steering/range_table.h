#ifndef STEERING_RANGE_TABLE_H_
#define STEERING_RANGE_TABLE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

#include "steering/huge_page_allocator.h"
#include "steering/key_range.h"

namespace samphire {

// Nested ranges of keys made flat: the innermost range that holds a key says
// where it goes. Immutable once built.
//
// Made for 1.9 million blocks on every entry: a trie of nodes with pointers
// takes 60 bytes and more for each, sorted leaves take at most two keys and two
// destinations. A plain binary search over them misses the cache at each of
// its last dozen steps, so every sixteenth key is kept again in a level above,
// and that level's every sixteenth in the next: a search reads one or two
// cache lines a level, and the destinations lie beside their keys.
template <typename Key>
class range_table {
 public:
  range_table() = default;

  // Ranges either lie within one another or apart, as prefixes do; of two
  // equal ones the later decides.
  explicit range_table(std::vector<key_range<Key>> ranges) {
    Flatten(std::move(ranges));
    BuildLevels();
  }

  // Where `key` goes, or kNoDestination.
  destination Find(const Key& key) const {
    if (leaves_.empty() || key < leaves_.front().keys.front())
      return kNoDestination;
    std::size_t at = 0;
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level)
      at = at * kFanOut + LastNotAbove(NodeAt(*level, at), key);
    const auto& found = NodeAt(leaves_, at);
    // The search would learn one by one that it needs these lines too.
    __builtin_prefetch(&found.keys[kFanOut / 2 - 1]);
    __builtin_prefetch(&found.to);
    return found.to[LastNotAbove(found.keys, key)];
  }

  bool empty() const { return leaves_.empty(); }

  std::size_t bytes() const {
    std::size_t sum = leaves_.capacity() * sizeof(leaf);
    for (const auto& level : levels_)
      sum += level.capacity() * sizeof(node);
    return sum;
  }

 private:
  // A cache line holds 16 IPv4 keys, two lines hold 16 halves of IPv6 keys.
  static constexpr std::size_t kFanOut = 16;
  // std::numeric_limits knows no 128-bit integer without extensions.
  static constexpr Key kHighestKey = static_cast<Key>(~Key{0});

  template <typename T>
  using array_of = std::vector<T, huge_page_allocator<T>>;
  using node = std::array<Key, kFanOut>;

  struct leaf {
    node keys{};
    std::array<destination, kFanOut> to{};
  };

  // The last key that is not above `key`; the first never is. Without a branch
  // there is nothing to guess wrongly, and the processor works on the next
  // look-up while this one waits for memory.
  static std::size_t LastNotAbove(const node& keys, const Key& key) {
    std::size_t at = 0;
    for (std::size_t step = kFanOut / 2; step > 0; step /= 2)
      at += static_cast<std::size_t>(keys[at + step] <= key) * step;
    return at;
  }

  // The highest key of all leads into the padding of a level, behind its last
  // node.
  template <typename T>
  static const T& NodeAt(const array_of<T>& nodes, std::size_t at) {
    return nodes[std::min(at, nodes.size() - 1)];
  }

  void Flatten(std::vector<key_range<Key>> ranges) {
    std::stable_sort(
        ranges.begin(), ranges.end(), [](const auto& a, const auto& b) {
          return a.first != b.first ? a.first < b.first : b.last < a.last;
        });
    std::vector<key_range<Key>> open;
    for (const auto& range : ranges) {
      CloseBefore(range.first, open);
      Start(range.first, range.to);
      open.push_back(range);
    }
    while (!open.empty())
      CloseInnermost(open);
    PadLastLeaf();
    leaves_.shrink_to_fit();
  }

  void CloseBefore(const Key& key, std::vector<key_range<Key>>& open) {
    while (!open.empty() && open.back().last < key)
      CloseInnermost(open);
  }

  // Behind a range, the one around it goes on, unless it ends there too.
  void CloseInnermost(std::vector<key_range<Key>>& open) {
    const Key last = open.back().last;
    open.pop_back();
    if (last == kHighestKey)
      return;
    const bool covered = !open.empty() && open.back().last > last;
    if (open.empty() || covered)
      Start(last + 1, covered ? open.back().to : kNoDestination);
  }

  void Start(const Key& key, destination to) {
    if (used_ > 0 && LastKey() == key) {
      LastDestination() = to;
      return;
    }
    // Neighbours with one destination are one range.
    if (used_ > 0 && LastDestination() == to)
      return;
    if (used_ % kFanOut == 0)
      leaves_.emplace_back();
    ++used_;
    LastKey() = key;
    LastDestination() = to;
  }

  Key& LastKey() { return leaves_.back().keys[(used_ - 1) % kFanOut]; }
  destination& LastDestination() {
    return leaves_.back().to[(used_ - 1) % kFanOut];
  }

  // A search for the highest key ends in the padding, so it repeats the last
  // range.
  void PadLastLeaf() {
    for (; used_ % kFanOut != 0; ++used_) {
      leaves_.back().keys[used_ % kFanOut] = kHighestKey;
      leaves_.back().to[used_ % kFanOut] = LastDestination();
    }
  }

  void BuildLevels() {
    std::vector<Key> firsts;
    for (const auto& one : leaves_)
      firsts.push_back(one.keys.front());
    while (firsts.size() > 1)
      firsts = AddLevel(firsts);
  }

  // Groups the keys into nodes and returns the first key of each.
  std::vector<Key> AddLevel(const std::vector<Key>& keys) {
    array_of<node> level((keys.size() + kFanOut - 1) / kFanOut);
    std::vector<Key> firsts;
    for (std::size_t i = 0; i < level.size() * kFanOut; ++i)
      level[i / kFanOut][i % kFanOut] = i < keys.size() ? keys[i] : kHighestKey;
    for (const auto& one : level)
      firsts.push_back(one.front());
    levels_.push_back(std::move(level));
    return firsts;
  }

  array_of<leaf> leaves_;
  // The level right above the leaves first.
  std::vector<array_of<node>> levels_;
  std::size_t used_ = 0;
};

}  // namespace samphire

#endif  // STEERING_RANGE_TABLE_H_
