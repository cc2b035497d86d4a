#ifndef STORE_HTTP_OBJECT_STORE_H_
#define STORE_HTTP_OBJECT_STORE_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "metrics/metrics.h"
#include "store/http_caller.h"
#include "store/object_store.h"
#include "store/store_call.h"

namespace samphire {

// The platform's object API over HTTP. Any number of threads may call. Tries
// no write twice: that and backing off are the caller's.
class http_object_store final : public object_store {
 public:
  http_object_store(http_store_options options,
                    const clock_source& clock,
                    metrics& metrics);

  result<store_object> Get(const std::string& key) override;
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override;
  result<void> Delete(const std::string& key, std::uint64_t expected) override;
  result<std::vector<store_object>> List(const std::string& prefix) override;
  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait) override;
  result<std::vector<instance_info>> Instances() override;

 private:
  struct request {
    store_call call = store_call::kGet;
    std::string uri;
    std::string body;
    std::uint64_t expected = 0;
    milliseconds timeout{0};
  };
  // Calls and counts; the answer is a whole one with status 200.
  result<store_http_reply> Call(const request& what);
  // What a read made of a whole answer, counted if it could not be read.
  template <typename T>
  result<T> Read(const request& what,
                 result<T> (*read)(const std::string& text));
  error Counted(error why);

  http_caller caller_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // STORE_HTTP_OBJECT_STORE_H_
