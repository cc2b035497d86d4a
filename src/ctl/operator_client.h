#ifndef CTL_OPERATOR_CLIENT_H_
#define CTL_OPERATOR_CLIENT_H_

#include <string>
#include <vector>

#include "base/clock_source.h"
#include "ctl/ctl_answer.h"
#include "ctl/ctl_call.h"

namespace samphire {

// Calls the entries at `urls` in turn until one answers.
class operator_client {
 public:
  operator_client(std::vector<std::string> urls,
                  std::string token,
                  milliseconds timeout);

  // For calls that change nothing: any entry that fails is passed over.
  ctl_answer Read(const ctl_call& call) const;
  // For calls that change something: once one may have arrived, no other
  // entry is asked, and the failure says so.
  ctl_answer Change(const ctl_call& call) const;

 private:
  ctl_answer CallOne(const std::string& url, const ctl_call& call) const;

  std::vector<std::string> urls_;
  std::string token_;
  milliseconds timeout_;
};

}  // namespace samphire

#endif  // CTL_OPERATOR_CLIENT_H_
