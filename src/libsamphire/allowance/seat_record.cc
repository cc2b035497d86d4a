#include "allowance/seat_record.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include "base/log.h"
#include "store/store_json.h"

namespace samphire {

std::string WriteSeat(const seat_record& record) {
  return fmt::format(R"({{"holder":{},"incarnation":{},"wait":{}}})",
                     JsonQuote(record.holder), record.incarnation, record.wait);
}

result<seat_record> ReadSeat(const std::string& text) {
  try {
    const auto json = ParseObject(text);
    if (!json.isNull()) {
      return seat_record{json->getValue<std::string>("holder"),
                         json->getValue<std::uint64_t>("incarnation"),
                         json->getValue<bool>("wait")};
    }
  } catch (const Poco::Exception&) {
  }
  return MakeError(result_code::kStoreCorrupt, "seat");
}

std::string SeatPrefix(const std::string& region) {
  return "seat/" + region + '/';
}

std::string SeatKey(const std::string& region, std::uint32_t number) {
  return SeatPrefix(region) + std::to_string(number);
}

}  // namespace samphire
