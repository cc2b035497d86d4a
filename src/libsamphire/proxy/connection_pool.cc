#include "proxy/connection_pool.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Time for which a connection that was just used can be taken for open.
constexpr milliseconds kRecentRest{100};
// Time for which the rest after which a connection was closed is remembered.
constexpr std::chrono::seconds kStaleMemory{10};

// Bounds the idle connections kept per address. More are never busy at once
// towards one target, since its slots bound the work that is sent to it.
constexpr std::size_t kMaxIdlePerAddress = 64;

// An idle connection must have no input. Readable means that it was closed, or
// that an unsolicited response arrived, which must not be taken for the
// response to the next request.
bool HasNoPendingInput(Poco::Net::StreamSocket& socket) {
  try {
    return !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

result<connection_pool::pooled_connection> connection_pool::Acquire(
    const std::string& address,
    milliseconds connect_timeout,
    connection_use use) {
  while (auto connection = AcquireIdle(address, use)) {
    if (HasNoPendingInput(connection->socket))
      return *std::move(connection);
  }
  return Open(address, connect_timeout);
}

result<connection_pool::pooled_connection> connection_pool::Open(
    const std::string& address,
    milliseconds connect_timeout) {
  const auto started = std::chrono::steady_clock::now();
  BOOST_OUTCOME_TRY(socket, opener_.Open(address, connect_timeout));
  return pooled_connection{
      .socket = socket,
      .opened_in = std::chrono::steady_clock::now() - started};
}

void connection_pool::Release(const std::string& address,
                              const pooled_connection& connection) {
  addresses_.With(address, [&](address_map& addresses) {
    auto& idle = addresses[address].idle;
    idle.push_back({connection.socket, std::chrono::steady_clock::now(),
                    connection.opened_in});
    if (idle.size() > kMaxIdlePerAddress)
      idle.pop_front();
  });
}

void connection_pool::OnStale(const std::string& address, duration rested) {
  const auto now = std::chrono::steady_clock::now();
  addresses_.With(address, [&](address_map& addresses) {
    auto& state = addresses[address];
    state.max_rest = std::min(MaxRest(state, now), rested / 2);
    state.max_rest_until = now + kStaleMemory;
  });
}

// Nobody asks any more for a connection to a target that is gone, nor do
// requests that need a new one. What such requests leave would stay until the
// process has no descriptor for another connection.
void connection_pool::CloseRested() {
  const auto now = std::chrono::steady_clock::now();
  addresses_.ForEach([&](address_map& addresses) {
    for (auto& [address, state] : addresses)
      DropRested(state, now);
    std::erase_if(addresses, [now](const auto& each) {
      return each.second.idle.empty() && now >= each.second.max_rest_until;
    });
  });
}

void connection_pool::DropRested(address_state& state, time_point now) const {
  const auto max_rest = MaxRest(state, now);
  while (!state.idle.empty() && now - state.idle.front().idle_since > max_rest)
    state.idle.pop_front();
}

void connection_pool::CloseIdle(const std::string& address) {
  addresses_.With(address, [&](address_map& addresses) {
    const auto found = addresses.find(address);
    if (found != addresses.end())
      found->second.idle.clear();
  });
}

duration connection_pool::MaxRest(const address_state& state,
                                  time_point now) const {
  return now < state.max_rest_until ? state.max_rest : max_rest_;
}

// Returns the connection that was used last, which is the least likely to have
// been closed by the other side. Drops connections that rested for too long.
std::optional<connection_pool::pooled_connection> connection_pool::AcquireIdle(
    const std::string& address,
    connection_use use) {
  if (use == connection_use::kNew)
    return std::nullopt;
  const auto now = std::chrono::steady_clock::now();
  return addresses_.With(
      address, [&](address_map& addresses) -> std::optional<pooled_connection> {
        const auto found = addresses.find(address);
        if (found == addresses.end())
          return std::nullopt;
        DropRested(found->second, now);
        auto& idle = found->second.idle;
        if (idle.empty())
          return std::nullopt;
        const auto last = idle.back();
        const auto rested = now - last.idle_since;
        if (use == connection_use::kRecent && rested > kRecentRest)
          return std::nullopt;
        idle.pop_back();
        return pooled_connection{.socket = last.socket,
                                 .reused = true,
                                 .rested = rested,
                                 .opened_in = last.opened_in};
      });
}

}  // namespace samphire
