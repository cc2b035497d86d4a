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

// Fields of an object that the schema has found to be of the right shape; one
// that is left out gives `otherwise`.
template <typename T>
T FieldOf(const Poco::JSON::Object& json,
          const std::string& name,
          T otherwise = {}) {
  return json.optValue<T>(name, otherwise);
}

inline milliseconds MillisecondsOf(const Poco::JSON::Object& json,
                                   const std::string& name,
                                   milliseconds otherwise) {
  return milliseconds(FieldOf<Poco::Int64>(json, name, otherwise.count()));
}

template <typename E, std::size_t N>
E EnumOf(const Poco::JSON::Object& json,
         const std::string& name,
         const enum_names<E, N>& names,
         E otherwise) {
  const auto text = FieldOf<std::string>(json, name);
  return ValueOf(names, text).value_or(otherwise);
}

inline std::vector<std::string> TextsOf(const Poco::JSON::Object& json,
                                        const std::string& name) {
  std::vector<std::string> texts;
  if (const auto array = json.getArray(name)) {
    for (const auto& item : *array)
      texts.push_back(item.convert<std::string>());
  }
  return texts;
}

// Reads every object of the array `name` by `read(object, pointer)` into
// `list`.
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
