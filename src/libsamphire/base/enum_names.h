#ifndef BASE_ENUM_NAMES_H_
#define BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace samphire {

// A table of the names of an enum class, the one place where they are written.
template <typename E, std::size_t N>
using enum_names = std::array<std::pair<E, std::string_view>, N>;

// The name of `value`, or "?" for a value that the table lacks.
template <typename E, std::size_t N>
constexpr std::string_view NameOf(const enum_names<E, N>& names, E value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value)
      return name;
  }
  return "?";
}

template <typename E, std::size_t N>
constexpr std::optional<E> ValueOf(const enum_names<E, N>& names,
                                   std::string_view name) {
  for (const auto& [value, candidate] : names) {
    if (candidate == name)
      return value;
  }
  return std::nullopt;
}

}  // namespace samphire

#endif  // BASE_ENUM_NAMES_H_
