#include "config/strict_json_handler.h"

#include <fmt/format.h>

#include "config/json_pointer.h"
#include "config/json_text.h"

namespace samphire {

void strict_json_handler::reset() {
  open_containers_.clear();
  values_ = 0;
  Poco::JSON::ParseHandler::reset();
}

void strict_json_handler::startObject() {
  EnterContainer(false);
  Poco::JSON::ParseHandler::startObject();
}

void strict_json_handler::endObject() {
  Poco::JSON::ParseHandler::endObject();
  LeaveContainer();
}

void strict_json_handler::startArray() {
  EnterContainer(true);
  Poco::JSON::ParseHandler::startArray();
}

void strict_json_handler::endArray() {
  Poco::JSON::ParseHandler::endArray();
  LeaveContainer();
}

// POCO keeps the last of two equal keys. A person who reads the file from the
// top would rely on the first, such as a cap that is not in effect, so
// duplicate keys are refused.
void strict_json_handler::key(const std::string& name) {
  CheckString(name);
  open_containers_.back().current_key = name;
  if (!open_containers_.back().seen_keys.insert(name).second) {
    throw strict_json_exception(
        MakeError(result_code::kJsonDuplicateKey,
                  fmt::format("key \"{}\" occurs twice", name), pointer()));
  }
  Poco::JSON::ParseHandler::key(name);
}

void strict_json_handler::value(int number) {
  Poco::JSON::ParseHandler::value(number);
  CountValue();
}

void strict_json_handler::value(unsigned number) {
  Poco::JSON::ParseHandler::value(number);
  CountValue();
}

void strict_json_handler::value(Poco::Int64 number) {
  Poco::JSON::ParseHandler::value(number);
  CountValue();
}

void strict_json_handler::value(Poco::UInt64 number) {
  Poco::JSON::ParseHandler::value(number);
  CountValue();
}

void strict_json_handler::value(const std::string& text) {
  CheckString(text);
  Poco::JSON::ParseHandler::value(text);
  CountValue();
}

void strict_json_handler::value(double number) {
  Poco::JSON::ParseHandler::value(number);
  CountValue();
}

void strict_json_handler::value(bool flag) {
  Poco::JSON::ParseHandler::value(flag);
  CountValue();
}

void strict_json_handler::null() {
  Poco::JSON::ParseHandler::null();
  CountValue();
}

std::string strict_json_handler::pointer() const {
  std::string path;
  for (const auto& open : open_containers_) {
    if (open.is_array)
      path += fmt::format("/{}", open.index);
    else if (!open.seen_keys.empty())
      path += JsonPointerToken(open.current_key);
  }
  return path;
}

// Parsing, and any later traversal of the value, recurses once per nesting
// level. The bound prevents a malicious file from exhausting the stack and
// crashing the process.
void strict_json_handler::EnterContainer(bool is_array) {
  if (open_containers_.size() == kMaxJsonDepth) {
    throw strict_json_exception(
        MakeError(result_code::kJsonTooDeep,
                  fmt::format("nested more than {} levels deep", kMaxJsonDepth),
                  pointer()));
  }
  open_container opened;
  opened.is_array = is_array;
  open_containers_.push_back(std::move(opened));
}

void strict_json_handler::LeaveContainer() {
  open_containers_.pop_back();
  CountValue();
}

// A parsed value takes hundreds of times as many bytes as its text ("{},"), so
// without a bound on the number of values, 8 MB of text would take gigabytes.
void strict_json_handler::CountValue() {
  if (++values_ > kMaxJsonValues) {
    throw strict_json_exception(MakeError(
        result_code::kFileTooLarge,
        fmt::format("the text holds more than {} values", kMaxJsonValues),
        pointer()));
  }
  if (!open_containers_.empty() && open_containers_.back().is_array)
    ++open_containers_.back().index;
}

// Checks the length and content of a string. Valid documents contain only short
// strings, and the patterns of the schema are matched by recursion over the
// length of the string, so a long one would exhaust the stack. A NUL would
// truncate the string when passed to functions of the C library.
void strict_json_handler::CheckString(const std::string& text) const {
  if (text.size() > kMaxJsonStringBytes) {
    throw strict_json_exception(MakeError(
        result_code::kValueOutOfRange,
        fmt::format("string of {} bytes exceeds the limit of {} bytes",
                    text.size(), kMaxJsonStringBytes),
        pointer()));
  }
  if (text.find('\0') != std::string::npos) {
    throw strict_json_exception(MakeError(result_code::kJsonSyntax,
                                          "string contains a NUL character",
                                          pointer()));
  }
}

}  // namespace samphire
