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

  // For calls that change nothing: any entry that fails, or that can't answer
  // just now, is passed over.
  ctl_answer Read(const ctl_call& call) const;
  // For calls that change something: once one may have been carried out, no
  // other entry is asked.
  ctl_answer Change(const ctl_call& call) const;

  // The same, but with `url` as the last to be asked.
  operator_client AskingLast(const std::string& url) const;

 private:
  ctl_answer CallOne(const std::string& url, const ctl_call& call) const;
  ctl_answer Send(const std::string& url, const ctl_call& call) const;

  std::vector<std::string> urls_;
  std::string token_;
  milliseconds timeout_;
};

}  // namespace samphire

#endif  // CTL_OPERATOR_CLIENT_H_
