#ifndef CTL_REPORT_H_
#define CTL_REPORT_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "ctl/ctl_answer.h"
#include "ctl/exit_code.h"
#include "ctl/output_format.h"

namespace samphire {

// Tells the operator what came of a command: results on standard output, and
// as text what is wrong on standard error.
class report {
 public:
  explicit report(output_format format) : format_(format) {}

  // `text` is what there is to say in words; `body` what JSON readers get.
  exit_code Done(const std::string& text,
                 const Poco::JSON::Object::Ptr& body = {}) const;
  exit_code Refused(const error& reason,
                    const Poco::JSON::Object::Ptr& body = {},
                    const std::string& advice = {}) const;
  // `how_to_find_out` is a command line.
  exit_code Unknown(const error& reason,
                    const std::string& how_to_find_out) const;
  exit_code Usage(const error& reason) const;
  // A refusal, a call that never arrived, or one that may have.
  exit_code Failed(const ctl_answer& answer,
                   const std::string& how_to_find_out) const;
  // The list `name` of `body` as a table.
  exit_code Table(const Poco::JSON::Object::Ptr& body,
                  const std::string& name,
                  const std::vector<std::string>& columns) const;

 private:
  void Tell(const error& outcome,
            const Poco::JSON::Object::Ptr& body,
            std::string_view advice) const;

  output_format format_;
};

}  // namespace samphire

#endif  // CTL_REPORT_H_
