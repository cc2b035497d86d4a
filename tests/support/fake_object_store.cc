#include "support/fake_object_store.h"

#include <utility>

namespace samphire {

namespace {

error UnreachableError() {
  return MakeError(result_code::kStoreUnreachable,
                   "fake object store is set to be down");
}

error OutcomeUnknownError() {
  return MakeError(result_code::kStoreOutcomeUnknown,
                   "fake object store lost a request or response");
}

}  // namespace

result<store_object> fake_object_store::Get(const std::string& key) {
  std::lock_guard guard(lock_);
  ++reads_;
  if (down_)
    return UnreachableError();
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return MakeError(result_code::kStoreNotFound, key);
  return found->second;
}

result<std::uint64_t> fake_object_store::Put(const std::string& key,
                                             const std::string& value,
                                             std::uint64_t expected) {
  RunBeforeWriteHook();
  std::lock_guard guard(lock_);
  ++writes_;
  if (down_)
    return UnreachableError();
  const auto fault = NextWriteFault();
  if (fault == write_fault::kRequestLost)
    return OutcomeUnknownError();
  const auto found = objects_.find(key);
  const std::uint64_t present =
      found == objects_.end() ? 0 : found->second.version;
  if (present != expected) {
    if (fault == write_fault::kResponseLost)
      return OutcomeUnknownError();
    return MakeError(result_code::kStoreConflict, key);
  }
  const std::uint64_t version = ++revision_;
  objects_[key] = store_object{key, version, value};
  Record(key, version);
  if (fault == write_fault::kResponseLost)
    return OutcomeUnknownError();
  return version;
}

result<void> fake_object_store::Delete(const std::string& key,
                                       std::uint64_t expected) {
  RunBeforeWriteHook();
  std::lock_guard guard(lock_);
  ++writes_;
  if (down_)
    return UnreachableError();
  const auto fault = NextWriteFault();
  if (fault == write_fault::kRequestLost)
    return OutcomeUnknownError();
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return MakeError(result_code::kStoreNotFound, key);
  if (found->second.version != expected)
    return MakeError(result_code::kStoreConflict, key);
  objects_.erase(found);
  ++revision_;
  Record(key, 0);
  if (fault == write_fault::kResponseLost)
    return OutcomeUnknownError();
  return Success();
}

result<std::vector<store_object>> fake_object_store::List(
    const std::string& prefix) {
  std::lock_guard guard(lock_);
  ++reads_;
  if (down_)
    return UnreachableError();
  std::vector<store_object> found;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

result<watch_batch> fake_object_store::Watch(const std::string& prefix,
                                             store_cursor cursor,
                                             milliseconds wait) {
  std::unique_lock guard(lock_);
  ++reads_;
  watch_batch batch;
  const auto collect = [&] {
    for (const auto& entry : log_) {
      if (entry.cursor > cursor.revision && entry.event.key.starts_with(prefix))
        batch.events.push_back(entry.event);
    }
    return down_ || !batch.events.empty();
  };
  if (cursor != 0)
    changed_.wait_for(guard, wait, collect);
  if (down_)
    return UnreachableError();
  batch.cursor = revision_;
  return batch;
}

result<std::vector<instance_info>> fake_object_store::Instances() {
  std::lock_guard guard(lock_);
  ++reads_;
  if (down_)
    return UnreachableError();
  return instances_;
}

void fake_object_store::MakeCopy() {
  std::lock_guard guard(lock_);
  copied_objects_ = objects_;
  copied_revision_ = revision_;
}

void fake_object_store::Restore() {
  std::lock_guard guard(lock_);
  objects_ = copied_objects_;
  revision_ = copied_revision_;
  std::erase_if(log_,
                [this](const auto& each) { return each.cursor > revision_; });
  changed_.notify_all();
}

void fake_object_store::SetDown(bool down) {
  std::lock_guard guard(lock_);
  down_ = down;
  changed_.notify_all();
}

void fake_object_store::LoseNextResponses(int count) {
  std::lock_guard guard(lock_);
  responses_to_lose_ = count;
}

void fake_object_store::LoseNextRequests(int count) {
  std::lock_guard guard(lock_);
  requests_to_lose_ = count;
}

void fake_object_store::BeforeNextWrite(std::function<void()> hook) {
  std::lock_guard guard(lock_);
  before_write_hook_ = std::move(hook);
}

void fake_object_store::SetInstances(std::vector<instance_info> instances) {
  std::lock_guard guard(lock_);
  instances_ = std::move(instances);
}

int fake_object_store::reads() const {
  std::lock_guard guard(lock_);
  return reads_;
}

int fake_object_store::writes() const {
  std::lock_guard guard(lock_);
  return writes_;
}

fake_object_store::write_fault fake_object_store::NextWriteFault() {
  if (requests_to_lose_ > 0) {
    --requests_to_lose_;
    return write_fault::kRequestLost;
  }
  if (responses_to_lose_ > 0) {
    --responses_to_lose_;
    return write_fault::kResponseLost;
  }
  return write_fault::kNormal;
}

void fake_object_store::Record(const std::string& key, std::uint64_t version) {
  log_.push_back({revision_, {key, version}});
  changed_.notify_all();
}

void fake_object_store::RunBeforeWriteHook() {
  std::function<void()> hook;
  {
    std::lock_guard guard(lock_);
    hook = std::exchange(before_write_hook_, nullptr);
  }
  if (hook)
    hook();
}

}  // namespace samphire
