#ifndef ENTRY_OPERATOR_OPERATOR_JSON_H_
#define ENTRY_OPERATOR_OPERATOR_JSON_H_

#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

#include "base/result.h"
#include "entry/operator/operator_api.h"

namespace samphire {

// The JSON of answers to operators, less the result code.
Poco::JSON::Object JsonOf(const apply_answer& answer);
Poco::JSON::Object JsonOf(const config_answer& answer);
Poco::JSON::Object JsonOf(const std::vector<history_entry>& history);
Poco::JSON::Object JsonOf(const status_answer& status);
Poco::JSON::Object JsonOf(const std::vector<drain>& drains);
Poco::JSON::Object JsonOf(const std::vector<ledger_answer>& records);
Poco::JSON::Object JsonOf(const ledger_answer& record);

// The whole body of an answer: code, name, detail and pointer, then `fields`.
std::string OperatorAnswerText(const error& outcome,
                               const Poco::JSON::Object& fields);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_JSON_H_
