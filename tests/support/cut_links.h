#ifndef SUPPORT_CUT_LINKS_H_
#define SUPPORT_CUT_LINKS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "proxy/connection_opener.h"
#include "support/relay.h"

namespace samphire {

// What a cut does to the connections of one entry.
enum class link_cut {
  kNone,
  // No byte arrives any more; new connections time out.
  kHang,
  // Open connections are reset, and new ones are refused.
  kReset,
  // Open connections live on, and new ones are refused.
  kRefuseNew,
};

// The links of one entry to targets, which can be cut one by one, while all
// others reach these targets. All members may be called from any thread.
class cut_links final : public connection_opener {
 public:
  // Links to other addresses than that of a target are not cut.
  void AddTarget(const std::string& address);
  void Cut(const std::string& address, link_cut cut);
  void CutAll(link_cut cut);

  result<Poco::Net::StreamSocket> Open(const std::string& address,
                                       milliseconds timeout) const override;

 private:
  struct link {
    std::unique_ptr<relay> connections;
    link_cut cut = link_cut::kNone;
  };
  static void Apply(link& one, link_cut cut);

  mutable std::mutex lock_;
  std::map<std::string, link> links_;
};

}  // namespace samphire

#endif  // SUPPORT_CUT_LINKS_H_
