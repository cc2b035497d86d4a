#ifndef TESTS_SUPPORT_LOG_SCHEMA_H_
#define TESTS_SUPPORT_LOG_SCHEMA_H_

#include <map>
#include <string>

namespace samphire {

// The documented log events and their fields, read from the table of a page in
// Markdown. The table has one row per event and lists each field as `name` and
// its type (text, int, number or bool); a field in parentheses is optional.
// Immutable after construction.
class log_schema {
 public:
  explicit log_schema(const std::string& page_path);

  // Returns a description of the first violation of the schema in a log line,
  // such as an undocumented event or field, or a missing field; "" if there is
  // none.
  std::string FindViolation(const std::string& line) const;
  std::size_t event_count() const { return events_.size(); }

 private:
  struct field {
    std::string type;
    bool optional = false;
  };
  using field_map = std::map<std::string, field>;

  std::map<std::string, field_map> events_;
};

}  // namespace samphire

#endif  // TESTS_SUPPORT_LOG_SCHEMA_H_
