#ifndef PEER_NEWS_PEERS_H_
#define PEER_NEWS_PEERS_H_

#include <string>
#include <vector>

namespace samphire {

// The peer addresses to which an entry tells news.
struct news_peers {
  // The other entries of its region.
  std::vector<std::string> region;
  // One entry of each other region, which passes the news on there.
  std::vector<std::string> relays;
};

}  // namespace samphire

#endif  // PEER_NEWS_PEERS_H_
