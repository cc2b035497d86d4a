#include "history/log_line.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

namespace samphire {

bool IsBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

std::string LogLineText(std::string_view line) {
  const auto start = line.find('{');
  return start == std::string_view::npos ? std::string()
                                         : std::string(line.substr(start));
}

// Malformed JSON is expected: a log file may be truncated at its end or contain
// lines of other programs.
Poco::JSON::Object::Ptr ParseLogLine(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

}  // namespace samphire
