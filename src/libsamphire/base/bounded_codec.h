#ifndef BASE_BOUNDED_CODEC_H_
#define BASE_BOUNDED_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace samphire {

// Refers to a string or vector that is serialized with a length prefix of at
// most `kLimit` elements, so that a forged length cannot make the reader
// allocate more than that. The prefix is the smallest of 8, 16 and 32 bits that
// can hold `kLimit`.
template <std::size_t kLimit, typename T>
struct bounded {
  T& value;
};

// Wraps `value` for an archive; `value` must outlive the result.
template <std::size_t kLimit, typename T>
bounded<kLimit, T> Bounded(T& value) {
  return {value};
}

// Writes or reads a bounded field. Throws cereal::Exception if the value to be
// written or the length that was read exceeds `kLimit`.
template <typename Archive, std::size_t kLimit, typename T>
void serialize(Archive& archive, bounded<kLimit, T>& field) {
  using size_type = std::conditional_t<
      (kLimit <= UINT8_MAX), std::uint8_t,
      std::conditional_t<(kLimit <= UINT16_MAX), std::uint16_t, std::uint32_t>>;
  if (Archive::is_saving::value && field.value.size() > kLimit)
    throw cereal::Exception("value exceeds the size limit of its field");
  auto size = static_cast<size_type>(field.value.size());
  archive(size);
  if (size > kLimit)
    throw cereal::Exception(
        "length prefix exceeds the size limit of its field");
  if constexpr (Archive::is_loading::value)
    field.value.resize(size);
  if constexpr (std::is_same_v<std::remove_const_t<T>, std::string>) {
    archive(cereal::binary_data(field.value.data(), size));
  } else {
    for (auto& element : field.value)
      archive(element);
  }
}

// Reads or writes an enum class as one byte. Throws cereal::Exception for a
// value above `kLast`, the last enumerator.
template <auto kLast, typename Archive, typename E>
void SerializeEnum(Archive& archive, E& value) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(kLast))
    throw cereal::Exception("enum value out of range");
  if constexpr (Archive::is_loading::value)
    value = static_cast<E>(number);
}

// Returns `value` in portable binary form. Throws cereal::Exception if a field
// exceeds its bound.
template <typename T>
std::string EncodeBinary(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return std::move(out).str();
}

// Decodes one value. Returns nothing if `bytes` are malformed or truncated, or
// if further bytes follow the value. Does not throw on malformed input.
template <typename T>
std::optional<T> DecodeBinary(std::string_view bytes) {
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    T value;
    archive(value);
    if (in.peek() != std::istringstream::traits_type::eof())
      return std::nullopt;
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace samphire

#endif  // BASE_BOUNDED_CODEC_H_
