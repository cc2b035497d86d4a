#include "support/relay.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace samphire {

namespace {

using Poco::Net::DatagramSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

// Interval at which blocked data checks whether the link is open again.
constexpr std::chrono::milliseconds kPoll{5};
// Limit for one wait for data, after which a thread checks for the relay's end.
const Poco::Timespan kWait(0, 20'000);
// Size of one read; no datagram is larger.
constexpr int kBufferBytes = 64 << 10;
// Bytes of a TCP connection that are forwarded at a time, so that connections
// share a bandwidth evenly.
constexpr int kReadBytes = 8 << 10;

}  // namespace

relay::relay(const std::string& ip, const std::string& destination)
    : destination_(destination), server_(SocketAddress(ip, 0)) {
  address_ = server_.address().toString();
  datagrams_.bind(server_.address());
  Spawn(std::thread([this] { AcceptConnections(); }));
  Spawn(std::thread([this] { ForwardDatagrams(); }));
}

relay::~relay() {
  stopping_ = true;
  std::vector<std::thread> threads;
  // A thread may still spawn another one until it sees `stopping_`, so this
  // joins until there are none left.
  for (bool more = true; more;) {
    {
      std::lock_guard guard(lock_);
      threads.swap(threads_);
    }
    more = !threads.empty();
    for (auto& thread : threads)
      thread.join();
    threads.clear();
  }
}

void relay::SetDelay(direction direction, std::chrono::milliseconds delay) {
  State(direction).delay_ms = delay.count();
}

void relay::SetBlocked(direction direction, bool blocked) {
  State(direction).blocked = blocked;
}

void relay::ResetConnections() {
  ++resets_;
}

void relay::SetBandwidth(direction direction, std::int64_t bytes_per_second) {
  State(direction).bytes_per_second = bytes_per_second;
}

relay::direction_state& relay::State(direction direction) {
  return direction == direction::kForward ? forward_ : return_;
}

bool relay::WaitToForward(direction direction) {
  const auto due = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(State(direction).delay_ms);
  while (!stopping_ &&
         (State(direction).blocked || std::chrono::steady_clock::now() < due))
    std::this_thread::sleep_for(
        State(direction).blocked ? kPoll : std::chrono::milliseconds(1));
  return !stopping_;
}

void relay::WaitForBandwidth(direction direction, int bytes) {
  auto& state = State(direction);
  const std::int64_t bandwidth = state.bytes_per_second;
  if (bandwidth == 0)
    return;
  std::chrono::steady_clock::time_point sent_at;
  {
    std::lock_guard guard(state.lock);
    const auto start =
        std::max(state.free_at, std::chrono::steady_clock::now());
    state.free_at = sent_at =
        start +
        std::chrono::microseconds(bytes * std::int64_t{1'000'000} / bandwidth);
  }
  while (!stopping_ && std::chrono::steady_clock::now() < sent_at)
    std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(
        kPoll, sent_at - std::chrono::steady_clock::now()));
}

void relay::AcceptConnections() {
  while (!stopping_) {
    if (!server_.poll(kWait, Poco::Net::Socket::SELECT_READ))
      continue;
    auto caller = server_.acceptConnection();
    try {
      StreamSocket target(destination_);
      caller.setNoDelay(true);
      target.setNoDelay(true);
      Spawn(std::thread(
          [=, this] { ForwardStream(caller, target, direction::kForward); }));
      Spawn(std::thread(
          [=, this] { ForwardStream(target, caller, direction::kReturn); }));
    } catch (const Poco::Exception&) {
      caller.close();
    }
  }
}

void relay::ForwardStream(StreamSocket from,
                          StreamSocket to,
                          direction direction) {
  std::array<char, kBufferBytes> buffer{};
  const int resets_at_start = resets_;
  try {
    while (!stopping_) {
      if (resets_ != resets_at_start) {
        from.setLinger(true, 0);
        from.close();
        return;
      }
      if (!from.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      const int count = from.receiveBytes(buffer.data(), kReadBytes);
      if (!WaitToForward(direction))
        break;
      if (count <= 0)
        break;
      WaitForBandwidth(direction, count);
      to.sendBytes(buffer.data(), count);
    }
    to.shutdownSend();
  } catch (const Poco::Exception&) {
    // One side has closed the connection, so the other is closed as well.
    to.close();
  }
}

void relay::ForwardDatagrams() {
  std::array<char, kBufferBytes> buffer{};
  std::map<std::string, DatagramSocket> upstream;
  while (!stopping_) {
    try {
      if (!datagrams_.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      SocketAddress sender;
      const int count =
          datagrams_.receiveFrom(buffer.data(), kBufferBytes, sender);
      // A blocked link drops datagrams instead of queueing them.
      if (forward_.blocked) {
        ++dropped_datagrams_;
        continue;
      }
      if (!WaitToForward(direction::kForward))
        return;
      auto found = upstream.find(sender.toString());
      if (found == upstream.end()) {
        DatagramSocket socket(SocketAddress(server_.address().host(), 0));
        found = upstream.emplace(sender.toString(), socket).first;
        Spawn(std::thread([=, this] { ReturnDatagrams(socket, sender); }));
      }
      found->second.sendTo(buffer.data(), count, destination_);
    } catch (const Poco::Exception&) {
      // The destination port is closed; the datagram is lost.
    }
  }
}

void relay::ReturnDatagrams(DatagramSocket from, const SocketAddress& to) {
  std::array<char, kBufferBytes> buffer{};
  while (!stopping_) {
    try {
      if (!from.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      const int count = from.receiveBytes(buffer.data(), kBufferBytes);
      if (count > 0 && !return_.blocked && WaitToForward(direction::kReturn))
        datagrams_.sendTo(buffer.data(), count, to);
    } catch (const Poco::Exception&) {
      // The destination port is closed; the datagram is lost.
    }
  }
}

void relay::Spawn(std::thread thread) {
  std::lock_guard guard(lock_);
  threads_.push_back(std::move(thread));
}

}  // namespace samphire
