#ifndef CONFIG_STRICT_JSON_HANDLER_H_
#define CONFIG_STRICT_JSON_HANDLER_H_

#include <Poco/JSON/ParseHandler.h>

#include <set>
#include <string>
#include <vector>

#include "config/strict_json_exception.h"

namespace samphire {

// Builds the value that the parser reads. Throws strict_json_exception if the
// nesting is too deep, a string too long, the number of values too large, or a
// key duplicated. Not thread-safe; used for one text at a time.
class strict_json_handler final : public Poco::JSON::ParseHandler {
 public:
  void reset() override;
  void startObject() override;
  void endObject() override;
  void startArray() override;
  void endArray() override;
  void key(const std::string& name) override;
  void value(int number) override;
  void value(unsigned number) override;
  void value(Poco::Int64 number) override;
  void value(Poco::UInt64 number) override;
  void value(const std::string& text) override;
  void value(double number) override;
  void value(bool flag) override;
  void null() override;

  // The JSON pointer of the value that is being read.
  std::string pointer() const;

 private:
  // An object or array whose end has not been read yet. `index` is the position
  // in an array, `current_key` and `seen_keys` belong to an object.
  struct open_container {
    bool is_array = false;
    std::size_t index = 0;
    std::string current_key;
    std::set<std::string> seen_keys;
  };

  void EnterContainer(bool is_array);
  void LeaveContainer();
  void CountValue();
  void CheckString(const std::string& text) const;

  std::vector<open_container> open_containers_;
  std::size_t values_ = 0;
};

}  // namespace samphire

#endif  // CONFIG_STRICT_JSON_HANDLER_H_
