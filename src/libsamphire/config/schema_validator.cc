#include "config/schema_validator.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>
// The headers of valijson take many seconds to compile, so only this source
// file includes them.
#include <valijson/adapters/poco_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/json_pointer.h"

namespace samphire {

namespace {

using schema_error = valijson::ValidationResults::Error;

// valijson distinguishes violated rules only by the text of its messages. A
// test violates each of these rules and so detects a change of the texts.
constexpr std::string_view kUnknownFieldPrefix =
    "Object contains a property that could not be validated using 'properties' "
    "or 'additionalProperties' constraints: '";
constexpr std::string_view kRangePrefix = "Expected number";
constexpr std::string_view kUnknownFieldSuffix = "'.";

// Returns the JSON pointer of a violation. valijson reports its path as
// "<root>", "[services]", "[0]".
std::string PointerOf(const schema_error& violation) {
  std::string pointer;
  for (const auto& step : violation.context) {
    if (step.size() >= 2 && step.front() == '[')
      pointer +=
          JsonPointerToken(std::string_view(step).substr(1, step.size() - 2));
  }
  return pointer;
}

// Translates a violation to a result code and a JSON pointer.
error ErrorOf(const schema_error& violation) {
  const std::string_view description = violation.description;
  const auto pointer = PointerOf(violation);
  if (description.starts_with(kUnknownFieldPrefix)) {
    auto field = description.substr(kUnknownFieldPrefix.size());
    field.remove_suffix(std::min(field.size(), kUnknownFieldSuffix.size()));
    return MakeError(result_code::kUnknownField, std::string(field),
                     pointer + JsonPointerToken(field));
  }
  const auto code = description.starts_with(kRangePrefix)
                        ? result_code::kValueOutOfRange
                        : result_code::kSchemaViolation;
  return MakeError(code, violation.description, pointer);
}

// Returns the violation with the longest path. Every level above an invalid
// value reports only that a value below it is invalid; the deepest report names
// the cause.
const schema_error& DeepestViolation(
    const valijson::ValidationResults& violations) {
  return *std::max_element(violations.begin(), violations.end(),
                           [](const auto& a, const auto& b) {
                             return a.context.size() < b.context.size();
                           });
}

// The text of a schema and the JSON pointer of a part of it; the pointer is
// empty for the whole schema.
using schema_key = std::pair<std::string_view, std::string_view>;

// A part is parsed as a document that contains all definitions and a reference
// to the part at its root, so that the references within the part resolve.
std::shared_ptr<const valijson::Schema> ParseSchema(const schema_key& key) {
  const auto& [text, part] = key;
  Poco::JSON::Parser json_parser;
  Poco::Dynamic::Var document = json_parser.parse(std::string(text));
  if (!part.empty()) {
    const auto whole = document.extract<Poco::JSON::Object::Ptr>();
    Poco::JSON::Object::Ptr root = new Poco::JSON::Object;
    root->set("definitions", whole->get("definitions"));
    root->set("$ref", "#" + std::string(part));
    document = root;
  }
  auto schema = std::make_shared<valijson::Schema>();
  valijson::SchemaParser schema_parser;
  const valijson::adapters::PocoJsonAdapter adapter(document);
  schema_parser.populateSchema(adapter, *schema);
  return schema;
}

// Returns the parsed schema from a cache: parsing a schema takes longer than
// validating with it, and there are only a few. Thread-safe.
std::shared_ptr<const valijson::Schema> SchemaOf(const schema_key& key) {
  static std::mutex lock;
  static std::map<schema_key, std::shared_ptr<const valijson::Schema>> parsed;
  std::lock_guard guard(lock);
  auto& schema = parsed[key];
  if (!schema)
    schema = ParseSchema(key);
  return schema;
}

// The number of items of a long array that are validated together while
// searching for a violation.
constexpr unsigned int kSliceItems = 256;

// Returns at most kSliceItems items of an array, starting at `first`.
Poco::JSON::Array::Ptr SliceOf(const Poco::JSON::Array& whole,
                               unsigned int first) {
  Poco::JSON::Array::Ptr slice = new Poco::JSON::Array;
  const auto end = std::min<std::size_t>(whole.size(), first + kSliceItems);
  for (auto i = first; i < end; ++i)
    slice->add(whole.get(i));
  return slice;
}

// Returns the names of the arrays in `value` that are longer than a slice.
std::vector<std::string> LongArrays(const Poco::JSON::Object& value) {
  std::vector<std::string> names;
  for (const auto& name : value.getNames()) {
    const auto array = value.getArray(name);
    if (array && array->size() > kSliceItems)
      names.push_back(name);
  }
  return names;
}

// Returns the deepest violation in `value`, or nothing if it is valid.
std::optional<schema_error> FindViolation(
    const valijson::Schema& schema,
    const Poco::JSON::Object::Ptr& value) {
  const Poco::Dynamic::Var document(value);
  const valijson::adapters::PocoJsonAdapter adapter(document);
  valijson::Validator validator;
  if (validator.validate(schema, adapter, nullptr))
    return std::nullopt;
  valijson::ValidationResults violations;
  validator.validate(schema, adapter, &violations);
  return violations.numErrors() == 0 ? schema_error{}
                                     : DeepestViolation(violations);
}

// Converts the index in a violation from the slice of the array `name` that
// starts at `first` to the whole array.
schema_error WithArrayOffset(schema_error violation,
                             const std::string& name,
                             unsigned int first) {
  constexpr std::size_t kNameStep = 1;
  constexpr std::size_t kIndexStep = 2;
  auto& steps = violation.context;
  if (steps.size() > kIndexStep && steps[kNameStep] == "[" + name + "]") {
    const auto index = std::stoul(steps[kIndexStep].substr(1));
    steps[kIndexStep] = "[" + std::to_string(index + first) + "]";
  }
  return violation;
}

// Returns the first violation in an invalid document. valijson collects all
// violations at a few hundred bytes each, so a file with a hundred thousand
// blocks that all lack a field would exhaust the memory of a small instance.
// Therefore the document is first validated with its long arrays truncated to
// one slice, then slice by slice.
schema_error FirstViolation(const valijson::Schema& schema,
                            const Poco::JSON::Object& value) {
  const auto names = LongArrays(value);
  Poco::JSON::Object::Ptr truncated = new Poco::JSON::Object(value);
  for (const auto& name : names)
    truncated->set(name, SliceOf(*value.getArray(name), 0));
  if (const auto violation = FindViolation(schema, truncated))
    return *violation;
  for (const auto& name : names) {
    const auto whole = value.getArray(name);
    for (unsigned int first = 0; first < whole->size(); first += kSliceItems) {
      truncated->set(name, SliceOf(*whole, first));
      if (const auto violation = FindViolation(schema, truncated))
        return WithArrayOffset(*violation, name, first);
    }
    truncated->set(name, SliceOf(*whole, 0));
  }
  // Every item is valid, so the remaining violation is an array with too many
  // items.
  const Poco::JSON::Object::Ptr copy = new Poco::JSON::Object(value);
  return FindViolation(schema, copy).value_or(schema_error{});
}

}  // namespace

result<void> ValidateBySchema(const Poco::JSON::Object::Ptr& value,
                              std::string_view schema_text,
                              std::string_view part) {
  const auto schema = SchemaOf({schema_text, part});
  const Poco::Dynamic::Var document(value);
  const valijson::adapters::PocoJsonAdapter adapter(document);
  valijson::Validator validator;
  if (validator.validate(*schema, adapter, nullptr))
    return Success();
  return ErrorOf(FirstViolation(*schema, *value));
}

}  // namespace samphire
