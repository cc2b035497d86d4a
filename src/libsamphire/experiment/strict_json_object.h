#ifndef EXPERIMENT_STRICT_JSON_OBJECT_H_
#define EXPERIMENT_STRICT_JSON_OBJECT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <optional>
#include <set>
#include <string>

#include "base/error.h"

namespace samphire {

// Reads the fields of a JSON object strictly and keeps the first error: a field
// that is missing, of the wrong type, out of range, or unknown, which means
// that it was never read. The accessors do not throw for these; after an error
// they return some value of the type, and first_error() returns the error. Not
// synchronized.
class strict_json_object {
 public:
  // `pointer` is the JSON pointer of `object`. A null `object` is an error.
  strict_json_object(Poco::JSON::Object::Ptr object, std::string pointer);

  // Return the field `name`. The overloads without a default require it; the
  // others return the default if it is missing. Numbers must lie in [low,
  // high].
  std::string Text(const std::string& name);
  std::string Text(const std::string& name, const std::string& default_value);
  double Number(const std::string& name, double low, double high);
  double Number(const std::string& name,
                double low,
                double high,
                double default_value);
  bool Flag(const std::string& name, bool default_value);
  // Return the array or object in the field `name`. Never null; empty if the
  // field is missing.
  Poco::JSON::Array::Ptr List(const std::string& name);
  Poco::JSON::Object::Ptr Members(const std::string& name);

  // Records an error at the field `name`, unless there is one already.
  void Fail(const std::string& name, const std::string& detail);
  // Takes over the error of a nested object, unless there is one already.
  void MergeError(const strict_json_object& part);
  std::string PointerTo(const std::string& name) const;
  // Returns the first error, if any. Fields that were not read count as errors,
  // so call this after all reads.
  std::optional<error> first_error() const;

 private:
  // Marks a field as known and returns whether it is present.
  bool Consume(const std::string& name, bool required);

  Poco::JSON::Object::Ptr object_;
  std::string pointer_;
  std::set<std::string> consumed_;
  std::optional<error> first_error_;
};

}  // namespace samphire

#endif  // EXPERIMENT_STRICT_JSON_OBJECT_H_
