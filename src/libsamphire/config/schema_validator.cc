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
// The library's headers take many seconds to compile: only this source
// includes them.
#include <valijson/adapters/poco_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/json_pointer.h"

namespace samphire {

namespace {

using schema_error = valijson::ValidationResults::Error;

// The library tells rules apart by its wording only. A test breaks each of
// these rules, so that a new wording shows at once.
constexpr std::string_view kUnknownFieldWording =
    "Object contains a property that could not be validated using 'properties' "
    "or 'additionalProperties' constraints: '";
constexpr std::string_view kRangeWording = "Expected number";
constexpr std::string_view kUnknownFieldEnd = "'.";

// The library writes a path as "<root>", "[services]", "[0]".
std::string PointerOf(const schema_error& fault) {
  std::string pointer;
  for (const auto& step : fault.context) {
    if (step.size() >= 2 && step.front() == '[')
      pointer +=
          JsonPointerStep(std::string_view(step).substr(1, step.size() - 2));
  }
  return pointer;
}

error ErrorOf(const schema_error& fault) {
  const std::string_view description = fault.description;
  const auto pointer = PointerOf(fault);
  if (description.starts_with(kUnknownFieldWording)) {
    auto field = description.substr(kUnknownFieldWording.size());
    field.remove_suffix(std::min(field.size(), kUnknownFieldEnd.size()));
    return MakeError(result_code::kUnknownField, std::string(field),
                     pointer + JsonPointerStep(field));
  }
  const auto code = description.starts_with(kRangeWording)
                        ? result_code::kValueOutOfRange
                        : result_code::kSchemaViolation;
  return MakeError(code, fault.description, pointer);
}

// Every level above a fault reports that something below is wrong; only the
// deepest report says what.
const schema_error& DeepestOf(const valijson::ValidationResults& faults) {
  return *std::max_element(faults.begin(), faults.end(),
                           [](const auto& a, const auto& b) {
                             return a.context.size() < b.context.size();
                           });
}

using schema_key = std::pair<std::string_view, std::string_view>;

// A part is read as the whole document with a reference to the part at its
// root, so that what the part refers to is still found.
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

// Parsing a schema costs more than using it, and there are few of them.
std::shared_ptr<const valijson::Schema> SchemaOf(const schema_key& key) {
  static std::mutex lock;
  static std::map<schema_key, std::shared_ptr<const valijson::Schema>> parsed;
  std::lock_guard guard(lock);
  auto& schema = parsed[key];
  if (!schema)
    schema = ParseSchema(key);
  return schema;
}

// How many items of a long array are looked at together for what is wrong.
constexpr unsigned int kSliceItems = 256;

Poco::JSON::Array::Ptr SliceOf(const Poco::JSON::Array& whole,
                               unsigned int first) {
  Poco::JSON::Array::Ptr slice = new Poco::JSON::Array;
  const auto end = std::min<std::size_t>(whole.size(), first + kSliceItems);
  for (auto i = first; i < end; ++i)
    slice->add(whole.get(i));
  return slice;
}

// The arrays of `value` that are longer than a slice.
std::vector<std::string> LongArrays(const Poco::JSON::Object& value) {
  std::vector<std::string> names;
  for (const auto& name : value.getNames()) {
    const auto array = value.getArray(name);
    if (array && array->size() > kSliceItems)
      names.push_back(name);
  }
  return names;
}

// Whether `value` is faulty, and how.
std::optional<schema_error> FaultOf(const valijson::Schema& schema,
                                    const Poco::JSON::Object::Ptr& value) {
  const Poco::Dynamic::Var document(value);
  const valijson::adapters::PocoJsonAdapter adapter(document);
  valijson::Validator validator;
  if (validator.validate(schema, adapter, nullptr))
    return std::nullopt;
  valijson::ValidationResults faults;
  validator.validate(schema, adapter, &faults);
  return faults.numErrors() == 0 ? schema_error{} : DeepestOf(faults);
}

// Where `fault` lies in the slice of `name` that starts at `first`.
schema_error Shifted(schema_error fault,
                     const std::string& name,
                     unsigned int first) {
  constexpr std::size_t kNameStep = 1;
  constexpr std::size_t kIndexStep = 2;
  auto& steps = fault.context;
  if (steps.size() > kIndexStep && steps[kNameStep] == "[" + name + "]") {
    const auto index = std::stoul(steps[kIndexStep].substr(1));
    steps[kIndexStep] = "[" + std::to_string(index + first) + "]";
  }
  return fault;
}

// The library lists every fault, some hundred bytes each, and a file whose
// hundred thousand blocks all lack a field would end a small instance. So the
// fault is looked for in the file with its long arrays cut short, then slice
// by slice.
schema_error FirstFault(const valijson::Schema& schema,
                        const Poco::JSON::Object& value) {
  const auto names = LongArrays(value);
  Poco::JSON::Object::Ptr cut = new Poco::JSON::Object(value);
  for (const auto& name : names)
    cut->set(name, SliceOf(*value.getArray(name), 0));
  if (const auto fault = FaultOf(schema, cut))
    return *fault;
  for (const auto& name : names) {
    const auto whole = value.getArray(name);
    for (unsigned int first = 0; first < whole->size(); first += kSliceItems) {
      cut->set(name, SliceOf(*whole, first));
      if (const auto fault = FaultOf(schema, cut))
        return Shifted(*fault, name, first);
    }
    cut->set(name, SliceOf(*whole, 0));
  }
  // Every item is sound, so what is left is an array with too many of them.
  const Poco::JSON::Object::Ptr copy = new Poco::JSON::Object(value);
  return FaultOf(schema, copy).value_or(schema_error{});
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
  return ErrorOf(FirstFault(*schema, *value));
}

}  // namespace samphire
