#ifndef PEER_NEWS_CHANNEL_H_
#define PEER_NEWS_CHANNEL_H_

#include <functional>
#include <string>
#include <utility>

#include "metrics/metrics.h"
#include "peer/news_peers.h"
#include "peer/peer_message_codec.h"
#include "peer/peer_transport.h"

namespace samphire {

// Tells all entries of the fleet what one of them has learned, in datagrams
// that may get lost. `News` has a member `relay`, which is 1 if the receiver is
// to pass the news on to the other entries of its region, else 0. Thread-safe.
template <typename News>
class news_channel {
 public:
  using peer_provider = std::function<news_peers()>;

  // Messages of `kind` that can't be decoded are counted under the metric
  // `malformed`. `transport` and `counters` must outlive the channel.
  news_channel(peer_transport& transport,
               message_kind kind,
               std::string malformed,
               peer_provider peers,
               metrics& counters)
      : transport_(transport),
        kind_(kind),
        malformed_(std::move(malformed)),
        peers_(std::move(peers)),
        metrics_(counters) {
    transport_.OnMessage(kind_,
                         [this](const auto& message) { OnMessage(message); });
  }
  ~news_channel() { transport_.OnMessage(kind_, nullptr); }
  news_channel(const news_channel&) = delete;
  news_channel& operator=(const news_channel&) = delete;

  // Sends the news to the entries of this region, and to one entry of each
  // other region, which passes it on there. Does not block.
  void Publish(News news) {
    const auto peers = peers_();
    news.relay = 0;
    for (const auto& address : peers.region)
      Send(address, news);
    news.relay = 1;
    for (const auto& address : peers.relays)
      Send(address, news);
  }
  // Sends the news to one entry only. Does not block.
  void SendTo(const std::string& address, News news) {
    news.relay = 0;
    Send(address, news);
  }
  news_peers peers() const { return peers_(); }

  // Called with the news of peers and the address of the entry that sent or
  // relayed them, on the transport's receiving thread. Must be set before the
  // transport starts.
  std::function<void(const News&, const std::string& from)> on_news;

 private:
  void Send(const std::string& address, const News& news) {
    SendToPeer(transport_, metrics_, address, kind_, news);
  }

  void OnMessage(const peer_message& message) {
    auto news = DecodeFromPeer<News>(message, metrics_, malformed_);
    if (!news)
      return;
    if (std::exchange(news->relay, 0) != 0) {
      for (const auto& address : peers_().region)
        Send(address, *news);
    }
    if (on_news)
      on_news(*news, message.from);
  }

  peer_transport& transport_;
  const message_kind kind_;
  const std::string malformed_;
  const peer_provider peers_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // PEER_NEWS_CHANNEL_H_
