#include "distribution/config_update.h"

#include <catch2/catch.hpp>
#include <cereal/archives/binary.hpp>
#include <sstream>

#include "distribution/distribution_rig.h"
#include "distribution/image_cache.h"

using namespace samphire;

namespace {

std::size_t WireBytes(const config_update& update) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(update);
  return out.str().size();
}

// Applies two declarations and returns the images of both.
std::pair<image_ptr, image_ptr> TwoImages(distribution_rig& rig,
                                          const declaration& one,
                                          const declaration& two) {
  REQUIRE(rig.first.Apply(one, {"id-1", "ana", {}}));
  const auto from = rig.LoadFresh().value();
  REQUIRE(rig.first.Apply(two, {"id-2", "ana", {}}));
  return {from, rig.LoadFresh().value()};
}

}  // namespace

TEST_CASE("an update contains the change, not the whole configuration") {
  distribution_rig rig;
  const auto one = WithBlocks(Example("nivel-claro"), 20'000);
  auto two = one;
  two.client_blocks[777].region = one.client_blocks[778].region;
  const auto [from, to] = TwoImages(rig, one, two);
  const auto update = MakeUpdate(from, *to);
  CHECK(WireBytes(update) < 2500);
  const auto no_fetch =
      [](const auto& /*refs*/) -> result<std::vector<std::string>> {
    return MakeError(result_code::kStoreUnreachable);
  };
  const auto made =
      LoadImage(update.root_text, from, ApplyUpdate(from, update), no_fetch);
  REQUIRE(made);
  CHECK(made.value()->digest() == to->digest());
  CHECK(AllLines(made.value()->Assemble()) == AllLines(two));
}

TEST_CASE("a change of one client block writes a few small chunks") {
  distribution_rig rig;
  const auto one = WithBlocks(Example("nivel-claro"), 20'000);
  auto two = one;
  two.client_blocks[777].region = one.client_blocks[778].region;
  const auto [from, to] = TwoImages(rig, one, two);
  std::size_t bytes = 0;
  for (const auto& [digest, chunk] : to->chunks()) {
    if (!from->chunks().contains(digest))
      bytes += chunk->text.size();
  }
  CHECK(bytes < 20'000);
  CHECK(to->shared_frame() != nullptr);
}

TEST_CASE("an update that doesn't apply is replaced by whole chunks") {
  // The peer's delta starts from a version that this entry never had, or the
  // client blocks grew so much that all leaves are new. The result must be the
  // complete configuration or nothing, never a mixture.
  distribution_rig rig;
  const auto one = WithBlocks(Example("nivel-claro"), 300);
  const auto [from, to] = TwoImages(rig, one, WithBlocks(one, 9000));
  const auto update = MakeUpdate(from, *to);
  for (const auto& base : {from, image_ptr()}) {
    const auto made = LoadImage(update.root_text, base,
                                ApplyUpdate(base, update), rig.Fetch());
    REQUIRE(made);
    CHECK(made.value()->digest() == to->digest());
    CHECK(AllLines(made.value()->Assemble()) == AllLines(to->Assemble()));
  }
}

TEST_CASE("a damaged or missing chunk makes no image") {
  // A chunk is overwritten, truncated or deleted in the platform. An entry that
  // used it would send callers to wrong regions without an error.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(WithBlocks(Example("nivel-claro"), 2000),
                          {"id-1", "ana", {}}));
  const auto chunks = rig.store.List("config/chunk/").value();
  for (const auto& chunk : chunks) {
    auto damaged = chunk.value;
    damaged.resize(damaged.size() - 1);
    const auto version =
        rig.store.Put(chunk.key, damaged, chunk.version).value();
    CHECK(rig.LoadFresh().error().code == result_code::kStoreCorrupt);
    REQUIRE(rig.store.Delete(chunk.key, version));
    CHECK(rig.LoadFresh().error().code == result_code::kStoreNotFound);
    REQUIRE(rig.store.Put(chunk.key, chunk.value, 0));
  }
  CHECK(rig.LoadFresh());
  for (const auto* text : {"", "{}", "[]", R"({"version":1})"})
    CHECK(LoadImage(text, nullptr, {}, rig.Fetch()).error().code ==
          result_code::kStoreCorrupt);
}

TEST_CASE("a peer serves chunks of the versions that it has cached") {
  distribution_rig rig;
  const auto one = Example("nivel-claro");
  const auto [from, to] = TwoImages(rig, one, WithBlocks(one, 50));
  image_cache cached_images;
  CHECK(cached_images.Pull(0).error().code == result_code::kNoConfiguration);
  cached_images.Add(from);
  cached_images.Add(to);
  cached_images.Add(from);
  CHECK(cached_images.current() == to);
  CHECK(cached_images.Pull(1).value().root_text == to->root_text());
  CHECK_FALSE(cached_images.Pull(1).value().deltas.empty());
  CHECK(cached_images.Pull(7).value().deltas.empty());
  CHECK(cached_images.Chunks({from->root().history, to->root().history})
            .value()
            .size() == 2);
  CHECK(cached_images.Chunks({MakeRef("00", 0)}).error().code ==
        result_code::kStoreNotFound);
}
