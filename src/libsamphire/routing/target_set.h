#ifndef ROUTING_TARGET_SET_H_
#define ROUTING_TARGET_SET_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routing/live_target.h"
#include "store/store_cursor.h"

namespace samphire {

// All known targets by service, and the failure domains that are evacuated and
// get no requests. Immutable, and therefore safe to use from any thread.
class target_set
    : public boost::intrusive_ref_counter<target_set,
                                          boost::thread_safe_counter> {
 public:
  // `listing` is the position of the store at which the targets were listed.
  target_set(std::vector<live_target> targets,
             std::set<std::string> evacuated_domains,
             store_cursor listing = {});

  // Returns every target of a service, whether or not it accepts new requests.
  const std::vector<live_target>& OfService(std::string_view service) const;
  // Returns whether a target may get new requests: it is neither draining nor
  // in an evacuated failure domain.
  bool IsOpen(const live_target& target) const;
  const std::set<std::string>& evacuated_domains() const {
    return evacuated_domains_;
  }
  store_cursor listing() const { return listing_; }
  std::size_t size() const { return size_; }
  // Returns the number of targets that may get new requests.
  std::size_t open_count() const;

 private:
  std::map<std::string, std::vector<live_target>, std::less<>> by_service_;
  std::set<std::string> evacuated_domains_;
  store_cursor listing_;
  std::size_t size_;
};

using target_set_ptr = boost::intrusive_ptr<const target_set>;

}  // namespace samphire

#endif  // ROUTING_TARGET_SET_H_
