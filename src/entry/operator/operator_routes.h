#ifndef ENTRY_OPERATOR_OPERATOR_ROUTES_H_
#define ENTRY_OPERATOR_OPERATOR_ROUTES_H_

#include <Poco/JSON/Object.h>

#include "base/result.h"
#include "entry/operator/operator_api.h"
#include "entry/operator/operator_call.h"

namespace samphire {

// The outcome of a call that was not refused: the fields of its response, and
// the code, which is kOk, or kWitnessNeeded for a change that awaits the
// approval of a second operator.
struct operator_outcome {
  result_code code = result_code::kOk;
  Poco::JSON::Object fields;
};

// Finds the operation for the method and path of `call` and runs it on `api`.
// Fails with kUnknownPath if there is none, with kMalformedRequest for bad
// parameters, or with the error of the operation.
result<operator_outcome> DispatchOperatorCall(operator_api& api,
                                              const operator_call& call);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_ROUTES_H_
