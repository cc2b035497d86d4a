#ifndef BASE_ENUM_NAMES_H_
#define BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace samphire {

// Maps the values of an enum class to their outer names, which appear in
// messages, settings, stored data, logs and metrics. It is the only place where
// these names are defined.
template <typename E, std::size_t N>
using enum_names = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of `value`, or "?" if the table does not contain it.
template <typename E, std::size_t N>
constexpr std::string_view NameOf(const enum_names<E, N>& names, E value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value)
      return name;
  }
  return "?";
}

// Returns the value called `name`, or nothing if there is none. The comparison
// is case-sensitive.
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
