#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

#include "platform_adapter/stand_in_platform.h"
#include "platform_store.h"
#include "store/object_mirror.h"
#include "store/object_relay.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

constexpr int kSeeds = 300;
constexpr int kMaxObjects = 12;
// Later than any removal that a mirror delays.
constexpr auto kMuchLater = std::chrono::hours(1);

// A store in which objects are written at random, also while it is listed, and
// whose pages show states of random ages.
class random_store {
 public:
  random_store() {
    stand_in_.page_source = [this](bool may_be_stale) {
      return Page(may_be_stale);
    };
  }

  // Begins a run of its own, whose objects have a prefix of their own.
  void Begin(std::uint32_t seed) {
    random_.seed(seed);
    prefix_ = "k" + std::to_string(seed) + "/";
    stand_in_.page_size = 1 + Below(5);
    exists_.clear();
    copies_.clear();
    writes_while_listed_ = true;
    WriteSome(kMaxObjects);
  }
  // Ends the writes within listings.
  void Calm() { writes_while_listed_ = false; }
  // Removes all objects of the run.
  void End() {
    for (const auto& [key, exists] : exists_) {
      if (exists)
        stand_in_.Remove(key);
    }
  }

  void WriteSome(int most) {
    for (int i = 0; i < most; ++i) {
      const auto key = prefix_ + "i-" + std::to_string(Below(kMaxObjects));
      if (exists_[key] && Below(3) == 0) {
        stand_in_.Remove(key);
        exists_[key] = false;
      } else {
        stand_in_.Write(key, R"({"spec":)" + std::to_string(++value_) + "}");
        exists_[key] = true;
      }
      copies_.push_back(stand_in_.MakeCopy());
    }
  }
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  // What the store holds now, by key.
  object_mirror::object_map Current() {
    object_mirror::object_map objects;
    const auto listed = store_.List(prefix_);
    for (const auto& object : listed.value())
      objects[object.key] = object.value;
    return objects;
  }
  platform_store& store() { return store_; }
  const std::string& prefix() const { return prefix_; }

 private:
  // Returns the state that a page shows; null for the current one.
  const stand_in_objects::copy* Page(bool may_be_stale) {
    if (writes_while_listed_)
      WriteSome(static_cast<int>(Below(3)));
    if (!may_be_stale)
      return nullptr;
    return &copies_[copies_.size() - 1 - Below(copies_.size())];
  }

  std::mt19937 random_;
  stand_in_platform stand_in_;
  system_clock_source clock_;
  metrics counters_;
  platform_store store_{{.addresses = {stand_in_.address()}},
                        clock_,
                        counters_};
  std::string prefix_;
  std::deque<stand_in_objects::copy> copies_;
  std::map<std::string, bool> exists_;
  int value_ = 0;
  std::atomic<bool> writes_while_listed_ = false;
};

// Follows the watches of `watch` from the mirror's position until nothing new
// comes.
template <typename W>
void CatchUp(object_mirror& mirror, W watch, time_point now) {
  while (true) {
    const auto before = mirror.cursor();
    const auto batch = watch(before);
    REQUIRE(batch);
    mirror.Apply(batch.value(), now);
    if (batch.value().events.empty() && mirror.cursor() == before)
      break;
  }
  mirror.Expire(now + kMuchLater);
}

}  // namespace

// Guards against a target that leaves and is used on: its page of a listing was
// older than the position from which changes were watched.
TEST_CASE("a watch from a listing misses no change of any page") {
  random_store random;
  int missed = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    random.Begin(seed);
    const bool lagging = seed % 3 != 0;
    const auto listing = lagging
                             ? random.store().ListLagging(random.prefix())
                             : random.store().Watch(random.prefix(), 0, 0ms);
    REQUIRE(listing);
    object_mirror mirror;
    const time_point now{std::chrono::hours(1)};
    mirror.Apply(listing.value(), now);
    random.WriteSome(static_cast<int>(random.Below(4)));
    random.Calm();
    CatchUp(
        mirror,
        [&](store_cursor from) {
          return random.store().Watch(random.prefix(), from, 0ms);
        },
        now);
    missed += mirror.objects() != random.Current() ? 1 : 0;
    random.End();
  }
  CHECK(missed == 0);
}

// Guards against the same position, passed on to entries that never listed the
// targets themselves.
TEST_CASE("an entry that starts from a peer's listing misses no change") {
  random_store random;
  int missed = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    random.Begin(seed);
    const system_clock_source clock;
    object_relay relay(clock);
    const auto listing = random.store().ListLagging(random.prefix());
    REQUIRE(listing);
    relay.Publish(random.prefix(), listing.value(), false);
    const auto known = relay.LastKnown(random.prefix());
    REQUIRE(known);
    object_mirror mirror;
    const time_point now{std::chrono::hours(1)};
    mirror.Apply(known.value(), now);
    random.WriteSome(static_cast<int>(random.Below(4)));
    random.Calm();
    // The peer watches the store, this entry the peer.
    const auto news =
        random.store().Watch(random.prefix(), listing.value().cursor, 0ms);
    REQUIRE(news);
    relay.Publish(random.prefix(), news.value());
    CatchUp(
        mirror,
        [&](store_cursor from) {
          return relay.Watch(random.prefix(), from, 0ms);
        },
        now);
    missed += mirror.objects() != random.Current() ? 1 : 0;
    random.End();
  }
  CHECK(missed == 0);
}
