#include "config/region_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "config/client_block_text.h"
#include "config/unique_names.h"

namespace samphire {

namespace {

result<void> CheckRegion(const declaration_names& names,
                         const std::string& region_name,
                         const std::string& pointer) {
  if (names.regions.contains(region_name))
    return Success();
  return MakeError(result_code::kUnknownRegion, region_name, pointer);
}

// The names a drain may refer to, and the error code for any other name.
struct drain_subject_rule {
  const std::set<std::string>& declared;
  result_code unknown_code;
};

drain_subject_rule RuleOf(drain_scope scope, const declaration_names& names) {
  switch (scope) {
    case drain_scope::kTarget:
      return {names.targets, result_code::kUnknownTarget};
    case drain_scope::kFailureDomain:
      return {names.failure_domains, result_code::kUnknownFailureDomain};
    case drain_scope::kRegion:
      break;
  }
  return {names.regions, result_code::kUnknownRegion};
}

result<void> CheckDrain(const drain& declared,
                        const declaration_names& names,
                        const std::string& pointer) {
  const auto rule = RuleOf(declared.scope, names);
  if (!rule.declared.contains(declared.subject))
    return MakeError(rule.unknown_code, declared.subject, pointer + "/subject");
  if (declared.deadline <= declared.starts_at) {
    return MakeError(result_code::kDrainWithoutTime,
                     "deadline must be after starts_at", pointer + "/deadline");
  }
  return Success();
}

}  // namespace

// Targets and drains refer to a failure domain without its region, so its name
// must be unique in the whole declaration.
result<void> CheckRegionNames(const declaration& declared,
                              const declaration_names& names) {
  unique_names regions;
  unique_names failure_domains;
  for (std::size_t i = 0; i < declared.regions.size(); ++i) {
    const auto& one = declared.regions[i];
    BOOST_OUTCOME_TRYV(
        regions.Add(one.name, fmt::format("/regions/{}/name", i)));
    for (std::size_t j = 0; j < one.failure_domains.size(); ++j) {
      BOOST_OUTCOME_TRYV(failure_domains.Add(
          one.failure_domains[j],
          fmt::format("/regions/{}/failure_domains/{}", i, j)));
    }
  }
  return CheckRegion(names, declared.default_region, "/default_region");
}

result<void> CheckLatencies(const declaration& declared,
                            const declaration_names& names) {
  unique_names pairs;
  for (std::size_t i = 0; i < declared.latencies.size(); ++i) {
    const auto& one = declared.latencies[i];
    const auto pointer = fmt::format("/latencies/{}", i);
    BOOST_OUTCOME_TRYV(CheckRegion(names, one.from, pointer + "/from"));
    BOOST_OUTCOME_TRYV(CheckRegion(names, one.to, pointer + "/to"));
    // Latencies are symmetric, so the order of the two regions is ignored.
    const auto [first, second] = std::minmax(one.from, one.to);
    BOOST_OUTCOME_TRYV(
        pairs.Add(fmt::format("{} and {}", first, second), pointer));
    if (first == second) {
      return MakeError(result_code::kValueOutOfRange,
                       "from and to name the same region", pointer + "/to");
    }
  }
  return Success();
}

result<void> CheckShiftCaps(const declaration& declared,
                            const declaration_names& names) {
  unique_names pairs;
  for (std::size_t i = 0; i < declared.shift_caps.size(); ++i) {
    const auto& one = declared.shift_caps[i];
    const auto pointer = fmt::format("/shift_caps/{}", i);
    BOOST_OUTCOME_TRYV(CheckRegion(names, one.from, pointer + "/from"));
    BOOST_OUTCOME_TRYV(CheckRegion(names, one.to, pointer + "/to"));
    BOOST_OUTCOME_TRYV(
        pairs.Add(fmt::format("{} to {}", one.from, one.to), pointer));
    if (one.from == one.to)
      return MakeError(result_code::kShiftCapToItself, one.to, pointer + "/to");
    if (one.initial > one.max_in_flight) {
      return MakeError(result_code::kValueOutOfRange,
                       "initial exceeds max_in_flight", pointer + "/initial");
    }
  }
  return Success();
}

// Nested blocks are allowed, since the longest matching prefix is used. Two
// equal blocks are ambiguous and therefore refused. Sorting avoids comparing
// every pair of blocks: a large fleet declares millions of them.
result<void> CheckClientBlocks(const declaration& declared,
                               const declaration_names& names) {
  const auto& blocks = declared.client_blocks;
  std::vector<std::size_t> order(blocks.size());
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    order[i] = i;
    BOOST_OUTCOME_TRYV(CheckRegion(names, blocks[i].region,
                                   fmt::format("/client_blocks/{}/region", i)));
  }
  const auto key = [&blocks](std::size_t i) {
    return std::tie(blocks[i].address, blocks[i].prefix_length);
  };
  std::sort(order.begin(), order.end(), [&key](auto a, auto b) {
    return std::make_pair(key(a), a) < std::make_pair(key(b), b);
  });
  const auto duplicate =
      std::adjacent_find(order.begin(), order.end(),
                         [&key](auto a, auto b) { return key(a) == key(b); });
  if (duplicate == order.end())
    return Success();
  return MakeError(result_code::kOverlappingClientBlocks,
                   FormatClientBlock(blocks[*duplicate]),
                   fmt::format("/client_blocks/{}/block", *(duplicate + 1)));
}

result<void> CheckDrains(const declaration& declared,
                         const declaration_names& names) {
  unique_names drain_names;
  for (std::size_t i = 0; i < declared.drains.size(); ++i) {
    const auto pointer = fmt::format("/drains/{}", i);
    BOOST_OUTCOME_TRYV(
        drain_names.Add(declared.drains[i].name, pointer + "/name"));
    BOOST_OUTCOME_TRYV(CheckDrain(declared.drains[i], names, pointer));
  }
  return Success();
}

}  // namespace samphire
