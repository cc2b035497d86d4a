#ifndef TRAFFIC_FOLLOWING_URGENT_OBJECTS_H_
#define TRAFFIC_FOLLOWING_URGENT_OBJECTS_H_

#include <string>

namespace samphire {

// Kinds of objects that are few and small, and whose changes can't wait until
// each entry has asked for them. Thread-safe.
class urgent_objects {
 public:
  virtual ~urgent_objects() = default;

  virtual bool Contains(const std::string& prefix) = 0;
  // Called when an entry that starts has listed the objects under `prefix`.
  virtual void OnFirstListing(const std::string& prefix) = 0;
  // Called when the platform has returned changes under `prefix`, which are in
  // the relay by now. Does not block.
  virtual void OnPlatformChange(const std::string& prefix) = 0;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_URGENT_OBJECTS_H_
