#include "allowance/partition_record.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "base/log.h"
#include "store/store_json.h"

namespace samphire {

std::string FormatPartition(const partition_record& record) {
  return fmt::format(R"({{"holder":{},"incarnation":{},"wait":{}}})",
                     JsonQuote(record.owner), record.incarnation,
                     record.needs_takeover_delay);
}

result<partition_record> ParsePartition(const std::string& text) {
  try {
    const auto json = ParseObject(text);
    if (!json.isNull()) {
      return partition_record{json->getValue<std::string>("holder"),
                              json->getValue<std::uint64_t>("incarnation"),
                              json->getValue<bool>("wait")};
    }
  } catch (const Poco::Exception&) {
  }
  return MakeError(result_code::kStoreCorrupt, "seat");
}

std::string PartitionPrefix(const std::string& region) {
  return "seat/" + region + '/';
}

std::string PartitionKey(const std::string& region, std::uint32_t number) {
  return PartitionPrefix(region) + std::to_string(number);
}

}  // namespace samphire
