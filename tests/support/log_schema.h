#ifndef TESTS_SUPPORT_LOG_SCHEMA_H_
#define TESTS_SUPPORT_LOG_SCHEMA_H_

#include <map>
#include <string>

namespace samphire {

// The events and fields that a page of documentation promises, read from its
// table: one row an event, each field as `name` and its type; one in
// parentheses may be left out.
class log_schema {
 public:
  explicit log_schema(const std::string& page_path);

  // What is wrong with a line; "" if nothing is.
  std::string FaultOf(const std::string& line) const;
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
