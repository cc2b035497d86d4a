#ifndef TRAFFIC_FOLLOWING_NEWS_PEERS_OF_H_
#define TRAFFIC_FOLLOWING_NEWS_PEERS_OF_H_

#include <string>

#include "peer/news_peers.h"
#include "traffic/following/entry_list.h"

namespace samphire {

// Returns the peers to which the entry `self` tells news.
news_peers NewsPeersOf(const entry_list& entries, const std::string& self);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_NEWS_PEERS_OF_H_
