#include "experiment/strict_object.h"

#include <utility>

#include "base/result.h"

namespace samphire {

strict_object::strict_object(Poco::JSON::Object::Ptr object,
                             std::string pointer)
    : object_(std::move(object)), pointer_(std::move(pointer)) {
  if (object_.isNull()) {
    object_ = new Poco::JSON::Object;
    fault_ =
        MakeError(result_code::kSchemaViolation, "not an object", pointer_);
  }
}

std::string strict_object::Text(const std::string& name) {
  if (!Take(name, true))
    return {};
  const auto value = object_->get(name);
  if (!value.isString())
    Fail(name, "not a string");
  return value.isString() ? value.convert<std::string>() : std::string();
}

std::string strict_object::Text(const std::string& name,
                                const std::string& otherwise) {
  return object_->has(name) ? Text(name) : otherwise;
}

double strict_object::Number(const std::string& name, double low, double high) {
  if (!Take(name, true))
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

double strict_object::Number(const std::string& name,
                             double low,
                             double high,
                             double otherwise) {
  return object_->has(name) ? Number(name, low, high) : otherwise;
}

bool strict_object::Flag(const std::string& name, bool otherwise) {
  if (!Take(name, false))
    return otherwise;
  const auto value = object_->get(name);
  if (!value.isBoolean())
    Fail(name, "not true or false");
  return value.isBoolean() && value.convert<bool>();
}

Poco::JSON::Array::Ptr strict_object::List(const std::string& name) {
  Poco::JSON::Array::Ptr list;
  if (Take(name, false)) {
    list = object_->getArray(name);
    if (list.isNull())
      Fail(name, "not an array");
  }
  return list.isNull() ? Poco::JSON::Array::Ptr(new Poco::JSON::Array) : list;
}

Poco::JSON::Object::Ptr strict_object::Members(const std::string& name) {
  Poco::JSON::Object::Ptr members;
  if (Take(name, false)) {
    members = object_->getObject(name);
    if (members.isNull())
      Fail(name, "not an object");
  }
  return members.isNull() ? Poco::JSON::Object::Ptr(new Poco::JSON::Object)
                          : members;
}

void strict_object::Fail(const std::string& name, const std::string& detail) {
  if (!fault_)
    fault_ = MakeError(result_code::kSchemaViolation, detail, PointerTo(name));
}

void strict_object::Adopt(const strict_object& part) {
  if (!fault_)
    fault_ = part.fault();
}

std::string strict_object::PointerTo(const std::string& name) const {
  return pointer_ + "/" + name;
}

std::optional<error> strict_object::fault() const {
  if (fault_)
    return fault_;
  for (const auto& name : object_->getNames()) {
    if (!taken_.contains(name))
      return MakeError(result_code::kUnknownField, name, PointerTo(name));
  }
  return std::nullopt;
}

bool strict_object::Take(const std::string& name, bool required) {
  taken_.insert(name);
  if (object_->has(name))
    return true;
  if (required)
    Fail(name, "missing");
  return false;
}

}  // namespace samphire
