#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "record.h"
#include "store.h"
#include "worker.h"

namespace review {

// One entry process, started with the command of the deploy file.
class entry_process {
 public:
  // Starts the program with these settings, which stand in the file `settings`.
  entry_process(const std::string& settings, const std::string& log);
  // Kills the process.
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

 private:
  pid_t pid_ = -1;
};

// A small deployment: a store, the workers of two services and one entry in
// each of two zones of one region, in processes of their own. The route
// "/levels/" leads to "dashboard" and is safe, "/alarms/" leads to "alarms" and
// is not idempotent.
class deployment {
 public:
  // Writes settings and logs to `folder`.
  deployment(const std::string& folder, record& log);

  // Adds a worker; only before Start().
  worker& AddWorker(
      const std::string& service,
      std::function<header_list(const http_message&)> extra_headers = {});
  // Starts the entries and waits until all are ready. Returns false if they are
  // not within ten seconds.
  bool Start();
  const std::string& caller_address(std::size_t entry) const {
    return callers_[entry];
  }
  // Everything that the workers have run.
  std::vector<worker_run> Runs();

 private:
  std::string SettingsOf(std::size_t entry) const;
  bool IsReady(std::size_t entry) const;

  const std::string folder_;
  record& log_;
  store store_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::string> callers_;
  std::vector<std::string> readiness_;
  std::vector<std::string> peers_;
  std::vector<std::unique_ptr<entry_process>> processes_;
};

// The host of both routes.
inline const std::string kHost = "gauge.example";

}  // namespace review

#endif  // REVIEW_STAND_INS_2_DEPLOYMENT_H_
