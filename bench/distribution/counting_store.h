#ifndef DISTRIBUTION_COUNTING_STORE_H_
#define DISTRIBUTION_COUNTING_STORE_H_

#include <string>
#include <utility>
#include <vector>

#include "base/system_clock_source.h"
#include "store/stand_in_objects.h"

namespace samphire {

// Calls to the platform, and bytes of values read and written.
struct traffic {
  double calls = 0;
  double bytes = 0;
};

// Forwards to the in-memory objects of the stand-in platform and counts the
// traffic.
class counting_store final : public object_store {
 public:
  result<store_object> Get(const std::string& key) override {
    auto got = objects_.Get(key);
    Add(got ? got.value().value.size() : 0);
    return got;
  }
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override {
    Add(value.size());
    return objects_.Put(key, value, expected);
  }
  result<void> Delete(const std::string& key, std::uint64_t expected) override {
    Add(0);
    return objects_.Delete(key, expected);
  }
  result<std::vector<store_object>> List(const std::string& prefix) override {
    Add(0);
    return objects_.List(prefix);
  }
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override {
    Add(0);
    return objects_.Watch(prefix, cursor, wait);
  }
  result<std::vector<instance_info>> Instances() override {
    Add(0);
    return objects_.Instances();
  }

  // Returns the counts since the last call and resets them.
  traffic TakeCounts() { return std::exchange(counted_, {}); }

 private:
  void Add(std::size_t bytes) {
    counted_.calls += 1;
    counted_.bytes += static_cast<double>(bytes);
  }

  system_clock_source clock_;
  stand_in_objects objects_{clock_};
  traffic counted_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_COUNTING_STORE_H_
