#ifndef LOAD_CALLER_H_
#define LOAD_CALLER_H_

#include <Poco/Net/HTTPRequest.h>

#include <atomic>
#include <string>

#include "experiment/arrival.h"
#include "experiment/request_outcome.h"
#include "experiment/scenario.h"
#include "history/history_writer.h"
#include "keep_alive_pool.h"
#include "lookup_cache.h"

namespace samphire {

// Carries requests through all their sendings, as the callers of a scenario.
// Several threads may use one.
class caller {
 public:
  // `direct` names the only destination, a target that is sent to without the
  // system; "" sends through the entries that look-ups name.
  caller(const scenario& plan,
         std::string direct,
         keep_alive_pool& pool,
         lookup_cache& lookups,
         history_writer& history);

  request_outcome Carry(const arrival& arrival, time_point start);

 private:
  struct sending {
    std::string id;
    std::string key;
    std::string destination;
    duration left{0};
    duration patience{0};
  };

  std::string Destination(const request_stream& stream,
                          const std::string& source,
                          std::uint32_t attempt);
  Poco::Net::HTTPRequest MakeRequest(const request_stream& stream,
                                     const arrival& arrival,
                                     const sending& sending) const;
  request_answered Send(const request_stream& stream,
                        const arrival& arrival,
                        const sending& sending);

  const scenario& plan_;
  const std::string direct_;
  keep_alive_pool& pool_;
  lookup_cache& lookups_;
  history_writer& history_;
  // Keeps the ids of several runs in one history apart.
  const std::string run_tag_;
};

}  // namespace samphire

#endif  // LOAD_CALLER_H_
