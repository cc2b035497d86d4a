#ifndef DISTRIBUTION_DISTRIBUTION_RIG_H_
#define DISTRIBUTION_DISTRIBUTION_RIG_H_

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/config_test_support.h"
#include "distribution/config_publisher.h"
#include "distribution/declaration_lines.h"
#include "distribution/image_loader.h"
#include "support/fake_object_store.h"
#include "support/manual_clock.h"

namespace samphire {

// The fake platform with a hook that runs before a write of the root.
class hooked_store final : public object_store {
 public:
  explicit hooked_store(fake_object_store& inner) : inner_(inner) {}

  // Runs once, before the next write of the root.
  std::function<void()> before_root;

  result<store_object> Get(const std::string& key) override {
    return inner_.Get(key);
  }
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override {
    if (key == kConfigRootKey && before_root)
      std::exchange(before_root, nullptr)();
    return inner_.Put(key, value, expected);
  }
  result<void> Delete(const std::string& key, std::uint64_t expected) override {
    return inner_.Delete(key, expected);
  }
  result<std::vector<store_object>> List(const std::string& prefix) override {
    return inner_.List(prefix);
  }
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override {
    return inner_.Watch(prefix, cursor, wait);
  }
  result<std::vector<instance_info>> Instances() override {
    return inner_.Instances();
  }

 private:
  fake_object_store& inner_;
};

inline publish_options TestOptions(std::uint64_t first_nonce) {
  publish_options options;
  options.retained = 4;
  options.attempts = 4;
  options.pause = [](int /*n*/) {};
  options.nonce = [next = first_nonce]() mutable { return next++; };
  return options;
}

// The publishers of two entries on one platform; the first one writes through
// the hook.
struct distribution_rig {
  fake_object_store store;
  hooked_store hooked{store};
  manual_clock clock;
  metrics registry;
  config_publisher first{hooked, clock, registry, TestOptions(1'000'000)};
  config_publisher second{store, clock, registry, TestOptions(9'000'000)};

  // Loads the image in force as an entry does that has no image yet.
  result<image_ptr> LoadFresh() {
    const auto root = store.Get(kConfigRootKey);
    if (!root)
      return root.error();
    return LoadImage(root.value().value, nullptr, {}, Fetch(),
                     history_use::kLoad);
  }
  chunk_fetch Fetch() {
    return [this](const std::vector<std::string>& refs)
               -> result<std::vector<std::string>> {
      std::vector<std::string> texts;
      for (const auto& ref : refs) {
        BOOST_OUTCOME_TRY(object, store.Get(ChunkKey(ref)));
        texts.push_back(object.value);
      }
      return texts;
    };
  }
  // Returns the number of chunks in the platform that no retained version
  // refers to.
  std::size_t UnreferencedChunks() {
    std::set<std::string> named;
    if (const auto image = LoadFresh()) {
      for (const auto& [digest, chunk] : image.value()->chunks())
        named.insert(ChunkKey(chunk->ref));
      for (const auto& change : image.value()->History()) {
        if (change.dropped.empty())
          continue;
        named.insert(ChunkKey(change.dropped));
        const auto listed = store.Get(ChunkKey(change.dropped)).value().value;
        for (const auto& ref : ReadRefs(listed))
          named.insert(ChunkKey(ref));
      }
    }
    const auto held = store.List("config/chunk/").value();
    return static_cast<std::size_t>(std::count_if(
        held.begin(), held.end(),
        [&](const auto& object) { return !named.contains(object.key); }));
  }
};

// Returns all lines of a declaration, sorted: equal for declarations with the
// same meaning.
inline std::vector<std::string> AllLines(const declaration& declared) {
  std::vector<std::string> texts;
  for (auto& line : FrameLines(declared))
    texts.push_back(line.text);
  for (auto& line : BlockLines(declared.client_blocks))
    texts.push_back(line.text);
  std::sort(texts.begin(), texts.end());
  return texts;
}

inline declaration WithBlocks(declaration declared, std::size_t count) {
  declared.client_blocks.clear();
  for (std::size_t i = 0; i < count; ++i) {
    client_block block;
    block.address[10] = block.address[11] = 0xff;
    block.address[12] = 10;
    block.address[13] = static_cast<std::uint8_t>(i >> 8);
    block.address[14] = static_cast<std::uint8_t>(i);
    block.prefix_length = 120;
    block.region = declared.regions[i % declared.regions.size()].name;
    declared.client_blocks.push_back(block);
  }
  return declared;
}

inline drain TestDrain(const std::string& name, const declaration& declared) {
  return {name, drain_scope::kRegion, declared.regions[0].name,
          wall_time(std::chrono::hours(24 * 365 * 60)),
          wall_time(std::chrono::hours(24 * 365 * 61))};
}

}  // namespace samphire

#endif  // DISTRIBUTION_DISTRIBUTION_RIG_H_
