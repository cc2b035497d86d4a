#ifndef DISTRIBUTION_BENCH_DECLARATION_H_
#define DISTRIBUTION_BENCH_DECLARATION_H_

#include <fmt/format.h>

#include <string>

#include "config/declaration.h"

namespace samphire {

// Returns a declaration with this number of client blocks and targets.
inline declaration Declared(std::uint32_t blocks, int targets) {
  declaration made;
  made.name = made.default_region = "kandy";
  made.regions = {{"kandy", {"kandy-a"}, 4}, {"galle", {"galle-a"}, 4}};
  service one{"probe-api", {}, {}};
  request_class any;
  any.name = any.method = "any";
  any.method = "*";
  any.path = "/**";
  any.deadline = any.max_deadline = milliseconds(1000);
  any.queue_limit = 10;
  one.classes = {any};
  for (int n = 0; n < targets; ++n)
    one.targets.push_back({fmt::format("t{}", n),
                           fmt::format("127.0.{}.{}:80", n / 200, n % 200 + 1),
                           "kandy-a", 3, 350});
  made.services = {one};
  for (std::uint32_t i = 0; i < blocks; ++i) {
    client_block block;
    block.address = {0x20,
                     1,
                     static_cast<std::uint8_t>(i >> 16),
                     static_cast<std::uint8_t>(i >> 8),
                     static_cast<std::uint8_t>(i),
                     1};
    block.prefix_length = 48;
    block.region = "kandy";
    made.client_blocks.push_back(block);
  }
  return made;
}

}  // namespace samphire

#endif  // DISTRIBUTION_BENCH_DECLARATION_H_
