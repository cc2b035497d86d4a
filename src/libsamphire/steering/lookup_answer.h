#ifndef STEERING_LOOKUP_ANSWER_H_
#define STEERING_LOOKUP_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Which entries a caller is to use, the best first, and for how long.
struct lookup_answer {
  struct choice {
    std::string name;
    std::string address;
    std::string region;

    bool operator==(const choice&) const = default;
  };

  std::string home_region;
  std::vector<choice> entries;
  milliseconds ttl{0};
  std::uint64_t version = 0;

  bool operator==(const lookup_answer&) const = default;
};

// The answer as callers get it over HTTP.
std::string WriteLookupAnswer(const lookup_answer& answer);

}  // namespace samphire

#endif  // STEERING_LOOKUP_ANSWER_H_
