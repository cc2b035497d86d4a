#ifndef CONFIG_STRICT_JSON_HANDLER_H_
#define CONFIG_STRICT_JSON_HANDLER_H_

#include <Poco/JSON/ParseHandler.h>

#include <set>
#include <string>
#include <vector>

#include "config/strict_json_refusal.h"

namespace samphire {

// Builds the value that the parser reads and throws strict_json_refusal for
// what is too deep, too long or named twice.
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
  void value(bool truth) override;
  void null() override;

  // The JSON pointer of what is being read.
  std::string pointer() const;

 private:
  // One object or array that is open.
  struct level {
    bool is_array = false;
    std::size_t index = 0;
    std::string current;
    std::set<std::string> seen;
  };

  void Open(bool is_array);
  void Close();
  void ValueDone();
  void CheckText(const std::string& text) const;

  std::vector<level> levels_;
  std::size_t values_ = 0;
};

}  // namespace samphire

#endif  // CONFIG_STRICT_JSON_HANDLER_H_
