#ifndef CONFIG_STRICT_JSON_REFUSAL_H_
#define CONFIG_STRICT_JSON_REFUSAL_H_

#include <exception>
#include <utility>

#include "base/result.h"

namespace samphire {

// Carries a refusal out of the library's parser, which has no other way to be
// stopped by its handler.
class strict_json_refusal final : public std::exception {
 public:
  explicit strict_json_refusal(error reason) : reason_(std::move(reason)) {}
  const error& reason() const { return reason_; }

 private:
  error reason_;
};

}  // namespace samphire

#endif  // CONFIG_STRICT_JSON_REFUSAL_H_
