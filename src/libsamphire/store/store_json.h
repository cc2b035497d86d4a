#ifndef STORE_STORE_JSON_H_
#define STORE_STORE_JSON_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "base/result.h"
#include "store/instance_info.h"
#include "store/store_object.h"
#include "store/watch_batch.h"

namespace samphire {

// Encoding and decoding of the JSON messages of the platform's protocol, for
// client and server. The Read functions return kStoreCorrupt for text that
// cannot be decoded.

// Returns the JSON object in `text`; null if it contains none.
Poco::JSON::Object::Ptr ParseObject(const std::string& text);

std::string WriteObjects(const std::vector<store_object>& objects);
result<std::vector<store_object>> ReadObjects(const std::string& text);

std::string WriteBatch(const watch_batch& batch);
result<watch_batch> ReadBatch(const std::string& text);

std::string WriteInstances(const std::vector<instance_info>& instances);
// Fails with kStoreCorrupt if there is no list; an instance that can't be read
// is left out and counted.
result<instance_listing> ReadInstances(const std::string& text);
result<instance_info> ReadInstance(const std::string& text);
std::string WriteInstance(const instance_info& instance);

// Returns the version in the response to a write.
result<std::uint64_t> ReadVersion(const std::string& text);

}  // namespace samphire

#endif  // STORE_STORE_JSON_H_
