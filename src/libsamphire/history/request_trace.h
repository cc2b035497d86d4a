#ifndef HISTORY_REQUEST_TRACE_H_
#define HISTORY_REQUEST_TRACE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphire {

// One line of an entry's log. Fields that the line lacks are empty.
struct log_record {
  // As written in the log; sorts as text.
  std::string time;
  std::string instance;
  std::string event;
  // Id of the request that the line is about; empty for other lines.
  std::string request;
  // The line itself, from its opening brace on.
  std::string text;
};

// Collects what the logs of one or more entries contain about one request: its
// own lines and, as context, the state of each entry when the request reached
// it. Lines of one entry must be read in their order. Not synchronized: used by
// one thread at a time.
class request_trace {
 public:
  // `request` is the id of the request.
  explicit request_trace(std::string request) : request_(std::move(request)) {}

  // Takes one line of a log. Text before its opening brace is skipped, since
  // log collectors add prefixes of their own.
  void Read(std::string_view line);

  // Returns the lines of the trace in order of time; empty if the request
  // occurs in no line.
  std::vector<log_record> Lines() const;
  // Number of lines that are not a JSON object.
  std::size_t unreadable() const { return unreadable_; }

 private:
  const std::string request_;
  std::vector<log_record> request_lines_;
  // Last lines about the state of the entry itself, by instance and event.
  std::map<std::string, std::map<std::string, log_record>> last_state_;
  std::vector<log_record> context_;
  std::size_t unreadable_ = 0;
};

}  // namespace samphire

#endif  // HISTORY_REQUEST_TRACE_H_
