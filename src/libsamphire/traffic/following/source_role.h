#ifndef TRAFFIC_FOLLOWING_SOURCE_ROLE_H_
#define TRAFFIC_FOLLOWING_SOURCE_ROLE_H_

namespace samphire {

// How an entry obtains changes of the platform's objects.
enum class source_role {
  // Watches the platform itself; the other entries of its region follow it.
  kWatcher,
  // Backup watcher: follows the watchers, and watches the platform while they
  // have no fresh copy.
  kBackup,
  // Follows the watchers, or the backups while the watchers have no fresh copy.
  kFollower,
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_SOURCE_ROLE_H_
