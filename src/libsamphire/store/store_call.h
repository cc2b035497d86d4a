#ifndef STORE_STORE_CALL_H_
#define STORE_STORE_CALL_H_

#include "base/enum_names.h"

namespace samphire {

// The kinds of calls to the platform, as counted in the store metrics.
enum class store_call {
  kGet,
  kPut,
  kDelete,
  kList,
  kWatch,
  kInstances,
  // A listing that may be some seconds old, which costs the platform less.
  kLaggingList,
};

// Names of the kinds in the labels of the store metrics.
inline constexpr enum_names<store_call, 7> kStoreCallNames{{
    {store_call::kGet, "get"},
    {store_call::kPut, "put"},
    {store_call::kDelete, "delete"},
    {store_call::kList, "list"},
    {store_call::kWatch, "watch"},
    {store_call::kInstances, "instances"},
    {store_call::kLaggingList, "lagging_list"},
}};

// Returns whether a call may modify objects, so that the outcome of a call
// without a response is unknown.
constexpr bool IsWrite(store_call call) {
  return call == store_call::kPut || call == store_call::kDelete;
}

}  // namespace samphire

#endif  // STORE_STORE_CALL_H_
