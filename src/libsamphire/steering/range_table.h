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

// Maps keys to destinations by nested ranges, of which the innermost one that
// contains a key decides. The ranges are flattened into a sorted array with an
// index of fixed fan-out above it, as in a static B+ tree. Immutable once
// built, so any thread may read it without a lock. `Key` is an unsigned
// integer.
//
// Designed for 1.9 million blocks on every entry: a trie of nodes with pointers
// takes 60 bytes or more per block, while sorted leaves take at most two keys
// and two destinations. A plain binary search over them misses the cache at
// each of its last dozen steps. So every sixteenth key is repeated in a level
// above, and every sixteenth of that level in the next one: a search reads one
// or two cache lines per level, and the destinations lie beside their keys.
template <typename Key>
class range_table {
 public:
  range_table() = default;

  // Two ranges must be either nested or disjoint, as prefixes are; of two equal
  // ones the later decides.
  explicit range_table(std::vector<key_range<Key>> ranges) {
    Flatten(std::move(ranges));
    BuildLevels();
  }

  // Returns the destination of the innermost range that contains the key, or
  // kNoDestination if none does.
  destination Find(const Key& key) const {
    if (leaves_.empty() || key < leaves_.front().keys.front())
      return kNoDestination;
    std::size_t index = 0;
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level)
      index = index * kFanOut + LastIndexNotAbove(NodeAt(*level, index), key);
    const auto& found_leaf = NodeAt(leaves_, index);
    // Fetches these cache lines of the leaf early; the search itself would
    // reach them one after the other.
    __builtin_prefetch(&found_leaf.keys[kFanOut / 2 - 1]);
    __builtin_prefetch(&found_leaf.to);
    return found_leaf.to[LastIndexNotAbove(found_leaf.keys, key)];
  }

  bool empty() const { return leaves_.empty(); }

  // Heap memory of the table.
  std::size_t bytes() const {
    std::size_t sum = leaves_.capacity() * sizeof(leaf);
    for (const auto& level : levels_)
      sum += level.capacity() * sizeof(node);
    return sum;
  }

 private:
  // Keys per node: one cache line holds 16 IPv4 keys, two lines hold 16 halves
  // of IPv6 addresses.
  static constexpr std::size_t kFanOut = 16;
  // std::numeric_limits has no 128-bit integers unless compiler extensions are
  // on.
  static constexpr Key kHighestKey = static_cast<Key>(~Key{0});

  template <typename T>
  using huge_page_vector = std::vector<T, huge_page_allocator<T>>;
  using node = std::array<Key, kFanOut>;

  // A run of adjacent ranges: the range that starts at keys[i] has the
  // destination to[i] and ends before the next key.
  struct leaf {
    node keys{};
    std::array<destination, kFanOut> to{};
  };

  // Returns the index of the last key that is not above `key`; the caller makes
  // sure that the first one is not. The search has no branches that the
  // processor could mispredict, so it works on the next look-up while this one
  // waits for memory.
  static std::size_t LastIndexNotAbove(const node& keys, const Key& key) {
    std::size_t index = 0;
    for (std::size_t step = kFanOut / 2; step > 0; step /= 2)
      index += static_cast<std::size_t>(keys[index + step] <= key) * step;
    return index;
  }

  // Returns the node at an index, clamped to the last one: a search for the
  // highest key follows the padding of an upper level and would end up behind
  // the last node.
  template <typename T>
  static const T& NodeAt(const huge_page_vector<T>& nodes, std::size_t index) {
    return nodes[std::min(index, nodes.size() - 1)];
  }

  // Sweeps over the starts of the ranges, outer ones first, with a stack of the
  // ranges that contain the current key.
  void Flatten(std::vector<key_range<Key>> ranges) {
    std::stable_sort(
        ranges.begin(), ranges.end(), [](const auto& a, const auto& b) {
          return a.first != b.first ? a.first < b.first : b.last < a.last;
        });
    std::vector<key_range<Key>> open_ranges;
    for (const auto& range : ranges) {
      CloseRangesBefore(range.first, open_ranges);
      StartRange(range.first, range.to);
      open_ranges.push_back(range);
    }
    while (!open_ranges.empty())
      CloseInnermostRange(open_ranges);
    PadLastLeaf();
    leaves_.shrink_to_fit();
  }

  void CloseRangesBefore(const Key& key,
                         std::vector<key_range<Key>>& open_ranges) {
    while (!open_ranges.empty() && open_ranges.back().last < key)
      CloseInnermostRange(open_ranges);
  }

  // Ends the innermost open range. After it the enclosing range continues,
  // unless that ends at the same key.
  void CloseInnermostRange(std::vector<key_range<Key>>& open_ranges) {
    const Key last = open_ranges.back().last;
    open_ranges.pop_back();
    if (last == kHighestKey)
      return;
    const bool covered = !open_ranges.empty() && open_ranges.back().last > last;
    if (open_ranges.empty() || covered)
      StartRange(last + 1, covered ? open_ranges.back().to : kNoDestination);
  }

  // Appends a flat range that starts at `key`, which is not below the last one.
  void StartRange(const Key& key, destination to) {
    if (key_count_ > 0 && LastRangeKey() == key) {
      LastRangeDestination() = to;
      return;
    }
    // Adjacent ranges with the same destination are merged.
    if (key_count_ > 0 && LastRangeDestination() == to)
      return;
    if (key_count_ % kFanOut == 0)
      leaves_.emplace_back();
    ++key_count_;
    LastRangeKey() = key;
    LastRangeDestination() = to;
  }

  Key& LastRangeKey() {
    return leaves_.back().keys[(key_count_ - 1) % kFanOut];
  }
  destination& LastRangeDestination() {
    return leaves_.back().to[(key_count_ - 1) % kFanOut];
  }

  // Fills up the last leaf. A search for the highest key ends in the padding,
  // so the padding repeats the last destination.
  void PadLastLeaf() {
    for (; key_count_ % kFanOut != 0; ++key_count_) {
      leaves_.back().keys[key_count_ % kFanOut] = kHighestKey;
      leaves_.back().to[key_count_ % kFanOut] = LastRangeDestination();
    }
  }

  // Builds the index levels from the leaves up to a single root node.
  void BuildLevels() {
    std::vector<Key> first_keys;
    for (const auto& each : leaves_)
      first_keys.push_back(each.keys.front());
    while (first_keys.size() > 1)
      first_keys = AddLevel(first_keys);
  }

  // Groups the keys into nodes and returns the first key of each.
  std::vector<Key> AddLevel(const std::vector<Key>& keys) {
    huge_page_vector<node> level((keys.size() + kFanOut - 1) / kFanOut);
    std::vector<Key> first_keys;
    for (std::size_t i = 0; i < level.size() * kFanOut; ++i)
      level[i / kFanOut][i % kFanOut] = i < keys.size() ? keys[i] : kHighestKey;
    for (const auto& each : level)
      first_keys.push_back(each.front());
    levels_.push_back(std::move(level));
    return first_keys;
  }

  huge_page_vector<leaf> leaves_;
  // Index levels, the one directly above the leaves first.
  std::vector<huge_page_vector<node>> levels_;
  // Keys in the leaves, with the padding of the last one once it is filled up.
  std::size_t key_count_ = 0;
};

}  // namespace samphire

#endif  // STEERING_RANGE_TABLE_H_
