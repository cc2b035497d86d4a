#ifndef CONFIG_JSON_FIELDS_H_
#define CONFIG_JSON_FIELDS_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/enum_names.h"
#include "base/result.h"

namespace samphire {

// Returns a field of an object that has passed schema validation, or `fallback`
// if the field is absent.
template <typename T>
T FieldOf(const Poco::JSON::Object& json,
          const std::string& name,
          T fallback = {}) {
  return json.optValue<T>(name, fallback);
}

// Returns a field that holds a number of milliseconds.
inline milliseconds MillisecondsOf(const Poco::JSON::Object& json,
                                   const std::string& name,
                                   milliseconds fallback) {
  return milliseconds(FieldOf<Poco::Int64>(json, name, fallback.count()));
}

// Returns the enum value whose name the field holds, or `fallback`.
template <typename E, std::size_t N>
E EnumOf(const Poco::JSON::Object& json,
         const std::string& name,
         const enum_names<E, N>& names,
         E fallback) {
  const auto text = FieldOf<std::string>(json, name);
  return ValueOf(names, text).value_or(fallback);
}

// Returns the elements of an array of strings, or none if it is absent.
inline std::vector<std::string> StringsOf(const Poco::JSON::Object& json,
                                          const std::string& name) {
  std::vector<std::string> strings;
  if (const auto array = json.getArray(name)) {
    for (const auto& item : *array)
      strings.push_back(item.convert<std::string>());
  }
  return strings;
}

// Reads each object of the array `name` with `read(object, pointer)` and
// appends the results to `list`. Stops at the first error. `pointer` is the
// JSON pointer of `json`. Does nothing if the array is absent.
template <typename T, typename F>
result<void> ReadList(const Poco::JSON::Object& json,
                      const std::string& name,
                      const std::string& pointer,
                      F read,
                      std::vector<T>& list) {
  const auto array = json.getArray(name);
  if (!array)
    return Success();
  list.reserve(array->size());
  for (unsigned int i = 0; i < array->size(); ++i) {
    BOOST_OUTCOME_TRY(item, read(*array->getObject(i),
                                 fmt::format("{}/{}/{}", pointer, name, i)));
    list.push_back(std::move(item));
  }
  return Success();
}

}  // namespace samphire

#endif  // CONFIG_JSON_FIELDS_H_
