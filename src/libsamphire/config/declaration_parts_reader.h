#ifndef CONFIG_DECLARATION_PARTS_READER_H_
#define CONFIG_DECLARATION_PARTS_READER_H_

#include <Poco/JSON/Object.h>

#include <string>

#include "base/result.h"
#include "config/client_block.h"
#include "config/drain.h"
#include "config/limits.h"
#include "config/region.h"
#include "config/region_latency.h"
#include "config/service.h"
#include "config/shift_cap.h"

namespace samphire {

// Readers for the parts of a declaration. Each takes an object that has passed
// schema validation, and its JSON pointer, which is used in the errors that the
// schema cannot express. Optional fields that are absent get their defaults.
result<region> ReadRegion(const Poco::JSON::Object& json,
                          const std::string& pointer);
result<region_latency> ReadRegionLatency(const Poco::JSON::Object& json,
                                         const std::string& pointer);
result<client_block> ReadClientBlock(const Poco::JSON::Object& json,
                                     const std::string& pointer);
result<service> ReadService(const Poco::JSON::Object& json,
                            const std::string& pointer);
result<shift_cap> ReadShiftCap(const Poco::JSON::Object& json,
                               const std::string& pointer);
result<drain> ReadDrainObject(const Poco::JSON::Object& json,
                              const std::string& pointer);
limits ReadLimits(const Poco::JSON::Object& json);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_PARTS_READER_H_
