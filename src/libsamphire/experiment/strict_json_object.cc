#include "experiment/strict_json_object.h"

#include <utility>

#include "base/result.h"

namespace samphire {

strict_json_object::strict_json_object(Poco::JSON::Object::Ptr object,
                                       std::string pointer)
    : object_(std::move(object)), pointer_(std::move(pointer)) {
  if (object_.isNull()) {
    object_ = new Poco::JSON::Object;
    first_error_ =
        MakeError(result_code::kSchemaViolation, "not an object", pointer_);
  }
}

std::string strict_json_object::Text(const std::string& name) {
  if (!Consume(name, true))
    return {};
  const auto value = object_->get(name);
  if (!value.isString())
    Fail(name, "not a string");
  return value.isString() ? value.convert<std::string>() : std::string();
}

std::string strict_json_object::Text(const std::string& name,
                                     const std::string& default_value) {
  return object_->has(name) ? Text(name) : default_value;
}

double strict_json_object::Number(const std::string& name,
                                  double low,
                                  double high) {
  if (!Consume(name, true))
    return low;
  const auto value = object_->get(name);
  if (!value.isNumeric() || value.isBoolean()) {
    Fail(name, "not a number");
    return low;
  }
  const auto number = value.convert<double>();
  if (number < low || number > high)
    Fail(name, "out of range");
  return number;
}

double strict_json_object::Number(const std::string& name,
                                  double low,
                                  double high,
                                  double default_value) {
  return object_->has(name) ? Number(name, low, high) : default_value;
}

bool strict_json_object::Flag(const std::string& name, bool default_value) {
  if (!Consume(name, false))
    return default_value;
  const auto value = object_->get(name);
  if (!value.isBoolean())
    Fail(name, "not a boolean");
  return value.isBoolean() && value.convert<bool>();
}

Poco::JSON::Array::Ptr strict_json_object::List(const std::string& name) {
  Poco::JSON::Array::Ptr list;
  if (Consume(name, false)) {
    list = object_->getArray(name);
    if (list.isNull())
      Fail(name, "not an array");
  }
  return list.isNull() ? Poco::JSON::Array::Ptr(new Poco::JSON::Array) : list;
}

Poco::JSON::Object::Ptr strict_json_object::Members(const std::string& name) {
  Poco::JSON::Object::Ptr members;
  if (Consume(name, false)) {
    members = object_->getObject(name);
    if (members.isNull())
      Fail(name, "not an object");
  }
  return members.isNull() ? Poco::JSON::Object::Ptr(new Poco::JSON::Object)
                          : members;
}

void strict_json_object::Fail(const std::string& name,
                              const std::string& detail) {
  if (!first_error_)
    first_error_ =
        MakeError(result_code::kSchemaViolation, detail, PointerTo(name));
}

void strict_json_object::MergeError(const strict_json_object& part) {
  if (!first_error_)
    first_error_ = part.first_error();
}

std::string strict_json_object::PointerTo(const std::string& name) const {
  return pointer_ + "/" + name;
}

std::optional<error> strict_json_object::first_error() const {
  if (first_error_)
    return first_error_;
  for (const auto& name : object_->getNames()) {
    if (!consumed_.contains(name))
      return MakeError(result_code::kUnknownField, name, PointerTo(name));
  }
  return std::nullopt;
}

bool strict_json_object::Consume(const std::string& name, bool required) {
  consumed_.insert(name);
  if (object_->has(name))
    return true;
  if (required)
    Fail(name, "missing");
  return false;
}

}  // namespace samphire
