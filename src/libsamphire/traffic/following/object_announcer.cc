#include "traffic/following/object_announcer.h"

#include <utility>

#include "base/log.h"
#include "traffic/following/mirror_messages.h"

namespace samphire {

object_announcer::object_announcer(
    peer_transport& transport,
    object_relay& relay,
    news_channel<object_news>::peer_provider peers,
    metrics& counters)
    : relay_(relay),
      metrics_(counters),
      channel_(transport,
               message_kind::kObjectNews,
               "object_news_malformed_total",
               std::move(peers),
               counters) {
  channel_.on_news = [this](const auto& news, const auto& from) {
    OnNews(news, from);
  };
}

void object_announcer::Follow(const std::string& prefix,
                              listing_handler receive) {
  std::lock_guard guard(lock_);
  if (receive)
    followed_[prefix].receive = std::move(receive);
  else
    followed_.erase(prefix);
}

bool object_announcer::Contains(const std::string& prefix) {
  std::lock_guard guard(lock_);
  return followed_.contains(prefix);
}

void object_announcer::OnFirstListing(const std::string& prefix) {
  const auto listing = relay_.LastKnown(prefix);
  if (listing)
    MarkAnnounced(prefix, listing.value());
}

bool object_announcer::MarkAnnounced(const std::string& prefix,
                                     const watch_batch& listing) {
  std::lock_guard guard(lock_);
  const auto found = followed_.find(prefix);
  if (found == followed_.end())
    return false;
  auto content = ContentOf(listing);
  if (found->second.announced == content)
    return false;
  found->second.announced = std::move(content);
  return true;
}

// The relay's copy is what the platform told. The objects in force at this
// entry may include some whose removal it delays, and another entry that took
// them at this position would never hear of their removal.
void object_announcer::OnPlatformChange(const std::string& prefix) {
  if (!Contains(prefix))
    return;
  const auto listing = relay_.LastKnown(prefix);
  if (!listing || !MarkAnnounced(prefix, listing.value()))
    return;
  object_news news{
      .prefix = prefix,
      .listing = EncodePatchedBatch(ToPatchedBatch(listing.value()))};
  const bool fits = EncodeBinary(news).size() <= kMaxPeerPayloadBytes;
  metrics_.Count("objects_announced_total",
                 fits ? "sent=\"yes\"" : "sent=\"no\"");
  Log(log_level::kInfo, "objects-announced",
      {{"prefix", prefix},
       {"era", listing.value().cursor.era},
       {"revision", listing.value().cursor.revision},
       {"objects", listing.value().events.size()},
       {"fits", fits}});
  if (fits)
    channel_.Publish(std::move(news));
}

object_announcer::listing_content object_announcer::ContentOf(
    const watch_batch& listing) {
  listing_content content{.era = listing.cursor.era, .versions = {}};
  for (const auto& event : listing.events)
    content.versions[event.key] = event.version;
  return content;
}

// The lock is held while the handler runs, so that none runs after Follow() has
// removed it.
void object_announcer::OnNews(const object_news& news,
                              const std::string& from) {
  const auto patched = DecodePatchedBatch(news.listing);
  if (!patched || !patched->reset) {
    metrics_.Count("object_news_malformed_total");
    return;
  }
  std::lock_guard guard(lock_);
  const auto found = followed_.find(news.prefix);
  if (found == followed_.end())
    return;
  auto listing = relay_.ResolvePatches(news.prefix, *patched);
  if (!listing) {
    metrics_.Count("object_news_malformed_total");
    return;
  }
  listing.value().source = from;
  found->second.announced = ContentOf(listing.value());
  relay_.Publish(news.prefix, listing.value(), false);
  found->second.receive(listing.value());
}

}  // namespace samphire
