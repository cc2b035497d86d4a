#ifndef TRAFFIC_TARGET_NEWS_CHANNEL_H_
#define TRAFFIC_TARGET_NEWS_CHANNEL_H_

#include <functional>
#include <string>

#include "metrics/metrics.h"
#include "peer/peer_transport.h"
#include "traffic/target_messages.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// Tells all entries what a target has said to one of them. Thread-safe.
class target_news_channel {
 public:
  target_news_channel(peer_transport& transport,
                      const traffic_settings& settings,
                      const traffic_state& state,
                      metrics& counters);
  ~target_news_channel();
  target_news_channel(const target_news_channel&) = delete;
  target_news_channel& operator=(const target_news_channel&) = delete;

  // Sends the news to the entries of this region, and to one entry of each
  // other region, which passes it on there. Does not block.
  void Publish(target_news news);

  // Called with the news of peers, on the transport's receiving thread. Must be
  // set before the transport starts.
  std::function<void(const target_news&)> on_news;

 private:
  void OnMessage(const peer_message& message);
  void SendToRegion(const target_news& news);

  peer_transport& transport_;
  const traffic_settings& settings_;
  const traffic_state& state_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // TRAFFIC_TARGET_NEWS_CHANNEL_H_
