#include "store/value_patch.h"

#include <xxhash.h>

#include <algorithm>
#include <cereal/types/vector.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/bounded_codec.h"
#include "base/deflate.h"

namespace samphire {

namespace {

// Length of the pieces of the base that are looked up in the value. Shorter
// ones find more in common and cost more steps.
constexpr std::size_t kBlockBytes = 32;
// Maximum number of steps in one patch.
constexpr std::size_t kMaxSteps = kMaxPatchedValueBytes / kBlockBytes;
// Maximum size of the encoded steps: the literals and what surrounds them.
constexpr std::size_t kMaxEncodedBytes = 2 * kMaxPatchedValueBytes;

// Appends `length` bytes from `offset` of the base and then `literal`.
struct patch_step {
  std::uint32_t offset = 0;
  std::uint32_t length = 0;
  std::string literal;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(offset, length, Bounded<kMaxPatchedValueBytes>(literal));
  }
};

struct patch_steps {
  // Digest of the value that the steps produce.
  std::uint64_t digest = 0;
  std::vector<patch_step> steps;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest, Bounded<kMaxSteps>(steps));
  }
};

std::uint64_t DigestOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Polynomial hash of a window that moves forward one byte at a time.
class rolling_hash {
 public:
  explicit rolling_hash(std::string_view window) {
    for (const char c : window)
      hash_ = hash_ * kFactor + Byte(c);
    for (std::size_t i = 1; i < window.size(); ++i)
      highest_factor_ *= kFactor;
  }
  void Roll(char out, char in) {
    hash_ = (hash_ - Byte(out) * highest_factor_) * kFactor + Byte(in);
  }
  std::uint32_t value() const { return hash_; }

 private:
  static constexpr std::uint32_t kFactor = 16777619;
  static std::uint32_t Byte(char c) { return static_cast<unsigned char>(c); }

  std::uint32_t hash_ = 0;
  std::uint32_t highest_factor_ = 1;
};

using block_index = std::unordered_map<std::uint32_t, std::uint32_t>;

// Number of bytes, after a difference, in which what follows is searched for
// first. Most changes are shorter, and the search costs far less than an index
// of the whole base.
constexpr std::size_t kNearbyBytes = 2048;
// Number of common bytes from which a place is used without looking further.
constexpr std::size_t kSureBytes = 4096;
// Number of these searches after which all differences are found by the index.
constexpr int kMaxNearbySearches = 16;

// Returns the offsets of the blocks of `base` by their hash.
block_index IndexBlocks(std::string_view base) {
  block_index index;
  index.reserve(base.size() / kBlockBytes);
  for (std::size_t at = 0; at + kBlockBytes <= base.size(); at += kBlockBytes) {
    index.try_emplace(rolling_hash(base.substr(at, kBlockBytes)).value(),
                      static_cast<std::uint32_t>(at));
  }
  return index;
}

// Returns the number of bytes with which both texts begin. Compares blocks
// first, which takes a fraction of the time.
std::size_t CommonPrefix(std::string_view a, std::string_view b) {
  constexpr std::size_t kCompared = 1024;
  const auto end = std::min(a.size(), b.size());
  std::size_t at = 0;
  while (at + kCompared <= end &&
         a.substr(at, kCompared) == b.substr(at, kCompared))
    at += kCompared;
  while (at < end && a[at] == b[at])
    ++at;
  return at;
}

// Builds the steps for `value` front to back.
class patch_builder {
 public:
  patch_builder(std::string_view base, std::string_view value)
      : base_(base), value_(value) {}

  std::vector<patch_step> Build() {
    // Most values begin as their base does, at any offset of a block.
    Copy(0, CommonPrefix(base_, value_));
    while (at_ + kBlockBytes <= value_.size()) {
      if (!FindNearbyMatch())
        FindNextMatch();
    }
    AddLiteral(value_.size());
    return std::move(steps_);
  }

 private:
  // Moves past a short difference, after which the value goes on as the base
  // does near where it was copied last. Returns false if there is none. Values
  // repeat themselves, so the place from which most is common is used.
  bool FindNearbyMatch() {
    if (++nearby_searches_ > kMaxNearbySearches)
      return false;
    const auto nearby = value_.substr(at_, kNearbyBytes);
    std::size_t longest = 0;
    std::size_t offset = 0;
    std::size_t position = 0;
    for (std::size_t skipped = 0;
         skipped < kNearbyBytes && longest < kSureBytes;
         skipped += kBlockBytes) {
      const auto block = base_.substr(
          std::min(base_end_ + skipped, base_.size()), kBlockBytes);
      const auto found = nearby.find(block);
      if (block.size() < kBlockBytes || found == std::string_view::npos)
        continue;
      const auto common =
          CommonPrefix(base_.substr(base_end_ + skipped, kSureBytes),
                       value_.substr(at_ + found, kSureBytes));
      if (common <= longest)
        continue;
      longest = common;
      offset = base_end_ + skipped;
      position = at_ + found;
    }
    if (longest < kBlockBytes)
      return false;
    CopyFrom(offset, position);
    return true;
  }
  // Moves to the next block of the base that occurs in the value, or to the
  // end.
  void FindNextMatch() {
    if (blocks_.empty())
      blocks_ = IndexBlocks(base_);
    rolling_hash hash(value_.substr(at_, kBlockBytes));
    for (auto next = at_;; ++next) {
      const auto found = blocks_.find(hash.value());
      if (found != blocks_.end() && base_.substr(found->second, kBlockBytes) ==
                                        value_.substr(next, kBlockBytes)) {
        CopyFrom(found->second, next);
        return;
      }
      if (next + kBlockBytes >= value_.size()) {
        AddLiteral(value_.size());
        return;
      }
      hash.Roll(value_[next], value_[next + kBlockBytes]);
    }
  }
  // Copies what is common around the match of base offset and value position.
  void CopyFrom(std::size_t offset, std::size_t position) {
    while (offset > 0 && position > at_ &&
           base_[offset - 1] == value_[position - 1]) {
      --offset;
      --position;
    }
    AddLiteral(position);
    Copy(offset, CommonPrefix(base_.substr(offset), value_.substr(position)));
  }
  void Copy(std::size_t offset, std::size_t length) {
    if (length == 0)
      return;
    steps_.push_back({static_cast<std::uint32_t>(offset),
                      static_cast<std::uint32_t>(length), ""});
    at_ += length;
    base_end_ = offset + length;
  }
  // Appends the value's bytes up to `end` to the last step.
  void AddLiteral(std::size_t end) {
    if (end == at_)
      return;
    if (steps_.empty())
      steps_.emplace_back();
    steps_.back().literal.append(value_.substr(at_, end - at_));
    at_ = end;
  }

  const std::string_view base_;
  const std::string_view value_;
  // Made when it is needed first.
  block_index blocks_;
  std::vector<patch_step> steps_;
  // Everything before this position of the value is covered by the steps.
  std::size_t at_ = 0;
  // The end of what was copied last from the base.
  std::size_t base_end_ = 0;
  int nearby_searches_ = 0;
};

}  // namespace

value_patch MakePatch(std::uint64_t base_version,
                      const std::string& base,
                      const std::string& value) {
  const patch_steps steps{DigestOf(value), patch_builder(base, value).Build()};
  return {base_version, Deflate(EncodeBinary(steps))};
}

result<std::string> ApplyPatch(const value_patch& patch,
                               const std::string& base) {
  const auto malformed = MakeError(result_code::kPeerMalformed,
                                   "patch does not apply to its base");
  const auto encoded = Inflate(patch.bytes, kMaxEncodedBytes);
  const auto steps =
      encoded ? DecodeBinary<patch_steps>(*encoded) : std::nullopt;
  if (!steps)
    return malformed;
  std::string value;
  for (const auto& step : steps->steps) {
    if (step.offset > base.size() || step.length > base.size() - step.offset ||
        value.size() + step.length + step.literal.size() >
            kMaxPatchedValueBytes)
      return malformed;
    value.append(base, step.offset, step.length);
    value.append(step.literal);
  }
  if (DigestOf(value) != steps->digest)
    return malformed;
  return value;
}

}  // namespace samphire
