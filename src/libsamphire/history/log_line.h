#ifndef HISTORY_LOG_LINE_H_
#define HISTORY_LOG_LINE_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>

namespace samphire {

// Whether a line of a log file says nothing.
bool IsBlank(std::string_view line);

// A log line from its opening brace on: what stands before it is passed over,
// as collectors put their own words there.
std::string LogLineText(std::string_view line);

// That text as JSON; null where it is no object.
Poco::JSON::Object::Ptr ParseLogLine(const std::string& text);

}  // namespace samphire

#endif  // HISTORY_LOG_LINE_H_
