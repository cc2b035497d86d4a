#include "config/entry_settings_reader.h"

#include "config/ip_address.h"
#include "config/json_fields.h"
#include "config/json_text.h"
#include "config/schema_validator.h"
#include "config/settings_schema.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

entry_settings ReadFields(const Object& json) {
  entry_settings read;
  read.instance = FieldOf<std::string>(json, "instance");
  read.region = FieldOf<std::string>(json, "region");
  read.failure_domain = FieldOf<std::string>(json, "failure_domain");
  read.caller_address = FieldOf<std::string>(json, "caller_address");
  read.operator_address = FieldOf<std::string>(json, "operator_address");
  read.peer_address = FieldOf<std::string>(json, "peer_address");
  read.platform_addresses = StringsOf(json, "platform_addresses");
  read.seeds = StringsOf(json, "seeds");
  read.peer_key_file = FieldOf<std::string>(json, "peer_key_file");
  read.operator_token_file = FieldOf<std::string>(json, "operator_token_file");
  read.max_connections =
      FieldOf<Poco::UInt32>(json, "max_connections", read.max_connections);
  read.header_timeout =
      MillisecondsOf(json, "header_timeout_ms", read.header_timeout);
  read.idle_timeout =
      MillisecondsOf(json, "idle_timeout_ms", read.idle_timeout);
  return read;
}

// Whether an address may have port 0. Listening addresses may, so that the
// system assigns a free port; addresses that the entry connects to may not.
enum class port_policy { kAllowZero, kRequireNonZero };

result<void> CheckAddress(const std::string& address,
                          port_policy policy,
                          const std::string& pointer) {
  const bool zero_port = address.ends_with(":0");
  const auto checked =
      zero_port ? address.substr(0, address.size() - 1) + "1" : address;
  if (IsSocketAddress(checked) &&
      (!zero_port || policy == port_policy::kAllowZero))
    return Success();
  return MakeError(result_code::kBadAddress, address, pointer);
}

result<void> CheckAddresses(const std::vector<std::string>& addresses,
                            const std::string& pointer) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    BOOST_OUTCOME_TRYV(CheckAddress(addresses[i], port_policy::kRequireNonZero,
                                    fmt::format("{}/{}", pointer, i)));
  }
  return Success();
}

result<void> CheckSettings(const entry_settings& read) {
  BOOST_OUTCOME_TRYV(CheckAddress(read.caller_address, port_policy::kAllowZero,
                                  "/caller_address"));
  BOOST_OUTCOME_TRYV(CheckAddress(
      read.operator_address, port_policy::kAllowZero, "/operator_address"));
  BOOST_OUTCOME_TRYV(CheckAddress(read.peer_address, port_policy::kAllowZero,
                                  "/peer_address"));
  BOOST_OUTCOME_TRYV(
      CheckAddresses(read.platform_addresses, "/platform_addresses"));
  return CheckAddresses(read.seeds, "/seeds");
}

}  // namespace

result<entry_settings> ReadEntrySettings(std::string_view text) {
  BOOST_OUTCOME_TRY(value, ReadJsonText(text));
  BOOST_OUTCOME_TRYV(ValidateBySchema(value, kSettingsSchema));
  const auto read = ReadFields(*value);
  BOOST_OUTCOME_TRYV(CheckSettings(read));
  return read;
}

}  // namespace samphire
