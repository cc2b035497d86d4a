#ifndef REVIEW_STAND_INS_2_STORE_H_
#define REVIEW_STAND_INS_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http_link.h"

namespace review {

// The platform's metadata store as far as entries use it: lists and watches.
// Linearizable; its history is never dropped. Thread-safe.
class store {
 public:
  store();

  const std::string& address() const { return listener_.address(); }
  // Creates or replaces KIND/NAME, as the operator or a server would. `content`
  // holds the object's members without `metadata`, such as "spec":{}.
  void Write(const std::string& key, const std::string& content);
  void Remove(const std::string& key);

 private:
  struct change {
    std::string key;
    std::uint64_t revision;
    bool deleted;
    std::string object;
  };

  void Serve(http_link link);
  std::string Respond(const http_message& request);
  std::string List(const std::string& kind, const std::string& after);
  std::string Watch(const std::string& kind,
                    std::uint64_t revision,
                    int wait_ms);

  std::mutex lock_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::string> objects_;
  std::vector<change> history_;
  // Serves calls from here on, so that it comes last.
  http_listener listener_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STORE_H_
