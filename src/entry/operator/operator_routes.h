#ifndef ENTRY_OPERATOR_OPERATOR_ROUTES_H_
#define ENTRY_OPERATOR_OPERATOR_ROUTES_H_

#include <Poco/JSON/Object.h>

#include "base/result.h"
#include "entry/operator/operator_api.h"
#include "entry/operator/operator_call.h"

namespace samphire {

// What a call came to: the fields of its answer and, for a change that waits
// for a witness, kWitnessNeeded.
struct operator_outcome {
  result_code code = result_code::kOk;
  Poco::JSON::Object fields;
};

// Finds the operation that `call` names and does it.
result<operator_outcome> DispatchOperatorCall(operator_api& api,
                                              const operator_call& call);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_ROUTES_H_
