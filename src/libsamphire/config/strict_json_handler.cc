#include "config/strict_json_handler.h"

#include <fmt/format.h>

#include "config/json_pointer.h"
#include "config/json_text.h"

namespace samphire {

void strict_json_handler::reset() {
  levels_.clear();
  values_ = 0;
  Poco::JSON::ParseHandler::reset();
}

void strict_json_handler::startObject() {
  Open(false);
  Poco::JSON::ParseHandler::startObject();
}

void strict_json_handler::endObject() {
  Poco::JSON::ParseHandler::endObject();
  Close();
}

void strict_json_handler::startArray() {
  Open(true);
  Poco::JSON::ParseHandler::startArray();
}

void strict_json_handler::endArray() {
  Poco::JSON::ParseHandler::endArray();
  Close();
}

// The library keeps the last of two equal keys. Whoever reads the file top
// down would believe in the first one, such as a cap that is not in force.
void strict_json_handler::key(const std::string& name) {
  CheckText(name);
  levels_.back().current = name;
  if (!levels_.back().seen.insert(name).second) {
    throw strict_json_refusal(MakeError(result_code::kJsonDuplicateKey,
                                        fmt::format("\"{}\" twice", name),
                                        pointer()));
  }
  Poco::JSON::ParseHandler::key(name);
}

void strict_json_handler::value(int number) {
  Poco::JSON::ParseHandler::value(number);
  ValueDone();
}

void strict_json_handler::value(unsigned number) {
  Poco::JSON::ParseHandler::value(number);
  ValueDone();
}

void strict_json_handler::value(Poco::Int64 number) {
  Poco::JSON::ParseHandler::value(number);
  ValueDone();
}

void strict_json_handler::value(Poco::UInt64 number) {
  Poco::JSON::ParseHandler::value(number);
  ValueDone();
}

void strict_json_handler::value(const std::string& text) {
  CheckText(text);
  Poco::JSON::ParseHandler::value(text);
  ValueDone();
}

void strict_json_handler::value(double number) {
  Poco::JSON::ParseHandler::value(number);
  ValueDone();
}

void strict_json_handler::value(bool truth) {
  Poco::JSON::ParseHandler::value(truth);
  ValueDone();
}

void strict_json_handler::null() {
  Poco::JSON::ParseHandler::null();
  ValueDone();
}

std::string strict_json_handler::pointer() const {
  std::string path;
  for (const auto& open : levels_) {
    if (open.is_array)
      path += fmt::format("/{}", open.index);
    else if (!open.seen.empty())
      path += JsonPointerStep(open.current);
  }
  return path;
}

// Reading recurses a level for each depth, here and in whatever walks the
// value later; the bound keeps a hostile file from ending the process.
void strict_json_handler::Open(bool is_array) {
  if (levels_.size() == kMaxJsonDepth) {
    throw strict_json_refusal(MakeError(
        result_code::kJsonTooDeep,
        fmt::format("more than {} levels", kMaxJsonDepth), pointer()));
  }
  level opened;
  opened.is_array = is_array;
  levels_.push_back(std::move(opened));
}

void strict_json_handler::Close() {
  levels_.pop_back();
  ValueDone();
}

// A parsed value takes hundreds of times the bytes of its text ("{},"); without
// a bound on their number 8 MB of text would take gigabytes.
void strict_json_handler::ValueDone() {
  if (++values_ > kMaxJsonValues) {
    throw strict_json_refusal(MakeError(
        result_code::kFileTooLarge,
        fmt::format("more than {} values", kMaxJsonValues), pointer()));
  }
  if (!levels_.empty() && levels_.back().is_array)
    ++levels_.back().index;
}

// No text of ours is long, and the schema's patterns are matched by recursion
// over the text's length, so a long one would exhaust the stack. A NUL would
// end the text early wherever it meets a function of the C library.
void strict_json_handler::CheckText(const std::string& text) const {
  if (text.size() > kMaxJsonStringBytes) {
    throw strict_json_refusal(
        MakeError(result_code::kValueOutOfRange,
                  fmt::format("a text of {} bytes, at most {} are read",
                              text.size(), kMaxJsonStringBytes),
                  pointer()));
  }
  if (text.find('\0') != std::string::npos) {
    throw strict_json_refusal(
        MakeError(result_code::kJsonSyntax, "a NUL in a text", pointer()));
  }
}

}  // namespace samphire
