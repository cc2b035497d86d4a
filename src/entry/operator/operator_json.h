#ifndef ENTRY_OPERATOR_OPERATOR_JSON_H_
#define ENTRY_OPERATOR_OPERATOR_JSON_H_

#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

#include "base/result.h"
#include "entry/operator/operator_api.h"

namespace samphire {

// Return the JSON fields of the responses to operators, without the result
// code.
Poco::JSON::Object JsonOf(const apply_response& response);
Poco::JSON::Object JsonOf(const config_response& response);
Poco::JSON::Object JsonOf(const std::vector<history_entry>& history);
Poco::JSON::Object JsonOf(const status_response& status);
Poco::JSON::Object JsonOf(const std::vector<drain>& drains);
Poco::JSON::Object JsonOf(const std::vector<reservation_status>& records);
Poco::JSON::Object JsonOf(const reservation_status& record);

// Returns the complete body of a response: code, name, detail and pointer, then
// `fields`.
std::string OperatorResponseText(const error& outcome,
                                 const Poco::JSON::Object& fields);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_JSON_H_
