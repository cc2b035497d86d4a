#ifndef EXPERIMENT_STRICT_OBJECT_H_
#define EXPERIMENT_STRICT_OBJECT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <optional>
#include <set>
#include <string>

#include "base/error.h"

namespace samphire {

// Reads the fields of a JSON object and keeps the first fault: a field that is
// missing, of another type, out of range, or that nobody asked for.
class strict_object {
 public:
  strict_object(Poco::JSON::Object::Ptr object, std::string pointer);

  std::string Text(const std::string& name);
  std::string Text(const std::string& name, const std::string& otherwise);
  double Number(const std::string& name, double low, double high);
  double Number(const std::string& name,
                double low,
                double high,
                double otherwise);
  bool Flag(const std::string& name, bool otherwise);
  // Never null; empty where the field is missing.
  Poco::JSON::Array::Ptr List(const std::string& name);
  Poco::JSON::Object::Ptr Members(const std::string& name);

  void Fail(const std::string& name, const std::string& detail);
  void Adopt(const strict_object& part);
  std::string PointerTo(const std::string& name) const;
  // The fault; unknown fields are one.
  std::optional<error> fault() const;

 private:
  bool Take(const std::string& name, bool required);

  Poco::JSON::Object::Ptr object_;
  std::string pointer_;
  std::set<std::string> taken_;
  std::optional<error> fault_;
};

}  // namespace samphire

#endif  // EXPERIMENT_STRICT_OBJECT_H_
