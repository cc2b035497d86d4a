#ifndef TRAFFIC_TARGET_NEWS_CHANNEL_H_
#define TRAFFIC_TARGET_NEWS_CHANNEL_H_

#include "peer/news_channel.h"
#include "traffic/target_messages.h"

namespace samphire {

// Tells all entries what a target has said to one of them.
using target_news_channel = news_channel<target_news>;

}  // namespace samphire

#endif  // TRAFFIC_TARGET_NEWS_CHANNEL_H_
