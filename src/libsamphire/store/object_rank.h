#ifndef STORE_OBJECT_RANK_H_
#define STORE_OBJECT_RANK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace samphire {

// Orders the versions of one object by what its owner wrote in them, such as a
// version number: a higher rank is a later version. Unlike the store's
// revisions, it holds also when the store has come back from a copy.
using object_rank = std::array<std::int64_t, 3>;

// Returns the rank of an object's value; the same for all values that can't be
// ordered.
using object_ranker = std::function<object_rank(const std::string& key,
                                                const std::string& value)>;

}  // namespace samphire

#endif  // STORE_OBJECT_RANK_H_
