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

// The platform's object API over HTTP. Any number of threads may call. Never
// retries a write that may have been executed; retries and backoff are up to
// the caller. Counts calls and errors in the store metrics.
class http_object_store final : public object_store {
 public:
  // `clock` and `metrics` must outlive this object.
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
                            store_cursor cursor,
                            milliseconds wait) override;
  result<std::vector<instance_info>> Instances() override;

 private:
  // A call before it is translated to HTTP.
  struct call_spec {
    store_call call = store_call::kGet;
    std::string uri;
    std::string body;
    // Version that the object must have for a write; 0 for reads and for
    // objects that must not exist.
    std::uint64_t expected = 0;
    milliseconds timeout{0};
  };
  // Makes and counts a call. Returns only complete responses with status 200;
  // any other is counted and returned as an error.
  result<store_http_reply> Call(const call_spec& spec);
  // Makes a call and parses the body of its response by `parse`. A body that
  // cannot be parsed is counted as an error.
  template <typename T>
  result<T> Read(const call_spec& spec,
                 result<T> (*parse)(const std::string& text));
  // Counts `failure` by its code and returns it.
  error CountError(error failure);

  http_caller caller_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // STORE_HTTP_OBJECT_STORE_H_
