#ifndef DISTRIBUTION_TREE_REF_JSON_H_
#define DISTRIBUTION_TREE_REF_JSON_H_

#include <Poco/JSON/Object.h>

#include <string>

#include "distribution/tree_ref.h"

namespace samphire {

// Returns the tree as a JSON object.
std::string WriteTreeRef(const tree_ref& tree);
// Reads the member `name` of `json`; throws a Poco exception if it isn't a
// tree.
tree_ref ReadTreeRef(const Poco::JSON::Object& json, const std::string& name);

}  // namespace samphire

#endif  // DISTRIBUTION_TREE_REF_JSON_H_
