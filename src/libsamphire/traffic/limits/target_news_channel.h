#ifndef TRAFFIC_LIMITS_TARGET_NEWS_CHANNEL_H_
#define TRAFFIC_LIMITS_TARGET_NEWS_CHANNEL_H_

#include "peer/news_channel.h"
#include "traffic/limits/target_messages.h"

namespace samphire {

// Tells all entries what a target has said to one of them.
using target_news_channel = news_channel<target_news>;

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TARGET_NEWS_CHANNEL_H_
