#ifndef HISTORY_LOG_STORY_H_
#define HISTORY_LOG_STORY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphire {

// One line of an entry's log.
struct log_record {
  std::string time;
  std::string instance;
  std::string event;
  // Of the request that the line is about; empty for others.
  std::string request;
  // The line itself, from its opening brace.
  std::string text;
};

// What the logs of one or more entries tell of one request: its own lines, and
// before them what each entry believed when it met the request.
class log_story {
 public:
  explicit log_story(std::string request) : request_(std::move(request)) {}

  // Takes in one line. What stands before its opening brace is passed over, as
  // collectors put their own words there.
  void Read(std::string_view line);

  // In order of time.
  std::vector<log_record> Lines() const;
  // Lines that are no JSON object.
  std::size_t unreadable() const { return unreadable_; }

 private:
  const std::string request_;
  std::vector<log_record> of_request_;
  // The last lines about the process itself, by instance and event.
  std::map<std::string, std::map<std::string, log_record>> beliefs_;
  std::vector<log_record> context_;
  std::size_t unreadable_ = 0;
};

}  // namespace samphire

#endif  // HISTORY_LOG_STORY_H_
