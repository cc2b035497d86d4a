#ifndef STORE_STORE_CALL_H_
#define STORE_STORE_CALL_H_

#include "base/enum_names.h"

namespace samphire {

// The kinds of calls to the platform, as they are counted.
enum class store_call {
  kGet,
  kPut,
  kDelete,
  kList,
  kWatch,
  kInstances,
  // A listing that may be some seconds old.
  kLaggingList,
};

inline constexpr enum_names<store_call, 7> kStoreCallNames{{
    {store_call::kGet, "get"},
    {store_call::kPut, "put"},
    {store_call::kDelete, "delete"},
    {store_call::kList, "list"},
    {store_call::kWatch, "watch"},
    {store_call::kInstances, "instances"},
    {store_call::kLaggingList, "lagging_list"},
}};

// Whether a call may change the platform, so that a lost answer matters.
constexpr bool Writes(store_call call) {
  return call == store_call::kPut || call == store_call::kDelete;
}

}  // namespace samphire

#endif  // STORE_STORE_CALL_H_
