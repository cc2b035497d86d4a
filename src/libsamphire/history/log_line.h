#ifndef HISTORY_LOG_LINE_H_
#define HISTORY_LOG_LINE_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>

namespace samphire {

// Returns whether a line of a log file is empty or white space only.
bool IsBlank(std::string_view line);

// Returns a log line from its opening brace on; empty without a brace. Text
// before the brace is skipped, since log collectors add prefixes of their own.
std::string LogLineText(std::string_view line);

// Parses the text of a log line; null if it is not a JSON object.
Poco::JSON::Object::Ptr ParseLogLine(const std::string& text);

}  // namespace samphire

#endif  // HISTORY_LOG_LINE_H_
