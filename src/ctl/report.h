#ifndef CTL_REPORT_H_
#define CTL_REPORT_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "ctl/ctl_response.h"
#include "ctl/exit_code.h"
#include "ctl/output_format.h"

namespace samphire {

// Prints the outcome of a command and returns the matching exit code. As text,
// results go to standard output and errors to standard error; as JSON, both go
// to standard output.
class report {
 public:
  explicit report(output_format format) : format_(format) {}

  // `text` is printed in text format, `body` in JSON format.
  exit_code Done(const std::string& text,
                 const Poco::JSON::Object::Ptr& body = {}) const;
  // `advice` tells the operator what to do next; empty for none.
  exit_code Refused(const error& reason,
                    const Poco::JSON::Object::Ptr& body = {},
                    const std::string& advice = {}) const;
  // `verify_command` is the command line that finds out the actual outcome.
  exit_code Unknown(const error& reason,
                    const std::string& verify_command) const;
  // Reports a wrong command line.
  exit_code Usage(const error& reason) const;
  // Reports a call that was refused or not sent (kRefused), or one that may
  // have been executed (kUnknown).
  exit_code Failed(const ctl_response& response,
                   const std::string& verify_command) const;
  // Prints the JSON array `name` of `body` as a table with one column for each
  // field in `columns`, or "none" if it is empty.
  exit_code Table(const Poco::JSON::Object::Ptr& body,
                  const std::string& name,
                  const std::vector<std::string>& columns) const;

 private:
  void Print(const error& outcome,
             const Poco::JSON::Object::Ptr& body,
             std::string_view advice) const;

  output_format format_;
};

}  // namespace samphire

#endif  // CTL_REPORT_H_
