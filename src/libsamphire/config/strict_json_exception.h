#ifndef CONFIG_STRICT_JSON_EXCEPTION_H_
#define CONFIG_STRICT_JSON_EXCEPTION_H_

#include <exception>
#include <utility>

#include "base/result.h"

namespace samphire {

// Thrown by the handler to abort POCO's parser, which offers no other way to
// stop it. Carries the error to be returned.
class strict_json_exception final : public std::exception {
 public:
  explicit strict_json_exception(error reason) : reason_(std::move(reason)) {}
  const error& reason() const { return reason_; }

 private:
  error reason_;
};

}  // namespace samphire

#endif  // CONFIG_STRICT_JSON_EXCEPTION_H_
