#ifndef TRAFFIC_SOURCE_ROLE_H_
#define TRAFFIC_SOURCE_ROLE_H_

namespace samphire {

// How an entry learns of changes of the platform's objects.
enum class source_role {
  // It watches the platform, and its region follows it.
  kWatcher,
  // It follows the watchers, and watches the platform when they can't.
  kDeputy,
  // It follows watchers and then deputies.
  kFollower,
};

}  // namespace samphire

#endif  // TRAFFIC_SOURCE_ROLE_H_
