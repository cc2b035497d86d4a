#include "support/relay.h"

#include <Poco/Exception.h>

#include <array>

namespace samphire {

namespace {

using Poco::Net::DatagramSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::chrono::milliseconds kPoll{5};
const Poco::Timespan kWait(0, 20'000);
constexpr int kBufferBytes = 64 << 10;

}  // namespace

relay::relay(const std::string& ip, const std::string& destination)
    : destination_(destination), server_(SocketAddress(ip, 0)) {
  address_ = server_.address().toString();
  datagrams_.bind(server_.address());
  Spawn(std::thread([this] { Accept(); }));
  Spawn(std::thread([this] { PumpDatagrams(); }));
}

relay::~relay() {
  stopping_ = true;
  std::vector<std::thread> threads;
  // Every thread looks at stopping_ before it may spawn another.
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

void relay::SetDelay(way way, std::chrono::milliseconds delay) {
  State(way).delay_ms = delay.count();
}

void relay::SetCut(way way, bool cut) {
  State(way).cut = cut;
}

void relay::ResetConnections() {
  ++resets_;
}

relay::way_state& relay::State(way way) {
  return way == way::kThere ? there_ : back_;
}

bool relay::Pass(way way) {
  const auto due = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(State(way).delay_ms);
  while (!stopping_ &&
         (State(way).cut || std::chrono::steady_clock::now() < due))
    std::this_thread::sleep_for(State(way).cut ? kPoll
                                               : std::chrono::milliseconds(1));
  return !stopping_;
}

void relay::Accept() {
  while (!stopping_) {
    if (!server_.poll(kWait, Poco::Net::Socket::SELECT_READ))
      continue;
    auto caller = server_.acceptConnection();
    try {
      StreamSocket target(destination_);
      caller.setNoDelay(true);
      target.setNoDelay(true);
      Spawn(std::thread([=, this] { Pump(caller, target, way::kThere); }));
      Spawn(std::thread([=, this] { Pump(target, caller, way::kBack); }));
    } catch (const Poco::Exception&) {
      caller.close();
    }
  }
}

void relay::Pump(StreamSocket from, StreamSocket to, way way) {
  std::array<char, kBufferBytes> buffer{};
  const int opened_after = resets_;
  try {
    while (!stopping_) {
      if (resets_ != opened_after) {
        from.setLinger(true, 0);
        from.close();
        return;
      }
      if (!from.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      const int count = from.receiveBytes(buffer.data(), kBufferBytes);
      if (!Pass(way))
        break;
      if (count <= 0)
        break;
      to.sendBytes(buffer.data(), count);
    }
    to.shutdownSend();
  } catch (const Poco::Exception&) {
    // One side broke the connection; so the other sees it broken too.
    to.close();
  }
}

void relay::PumpDatagrams() {
  std::array<char, kBufferBytes> buffer{};
  std::map<std::string, DatagramSocket> upstream;
  while (!stopping_) {
    try {
      if (!datagrams_.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      SocketAddress sender;
      const int count =
          datagrams_.receiveFrom(buffer.data(), kBufferBytes, sender);
      // A cut link loses datagrams instead of keeping them.
      if (there_.cut) {
        ++lost_datagrams_;
        continue;
      }
      if (!Pass(way::kThere))
        return;
      auto found = upstream.find(sender.toString());
      if (found == upstream.end()) {
        DatagramSocket socket(SocketAddress(server_.address().host(), 0));
        found = upstream.emplace(sender.toString(), socket).first;
        Spawn(std::thread([=, this] { PumpDatagramsBack(socket, sender); }));
      }
      found->second.sendTo(buffer.data(), count, destination_);
    } catch (const Poco::Exception&) {
      // Nobody listens there: the datagram is lost.
    }
  }
}

void relay::PumpDatagramsBack(DatagramSocket from, const SocketAddress& to) {
  std::array<char, kBufferBytes> buffer{};
  while (!stopping_) {
    try {
      if (!from.poll(kWait, Poco::Net::Socket::SELECT_READ))
        continue;
      const int count = from.receiveBytes(buffer.data(), kBufferBytes);
      if (count > 0 && !back_.cut && Pass(way::kBack))
        datagrams_.sendTo(buffer.data(), count, to);
    } catch (const Poco::Exception&) {
      // Nobody listens there: the datagram is lost.
    }
  }
}

void relay::Spawn(std::thread thread) {
  std::lock_guard guard(lock_);
  threads_.push_back(std::move(thread));
}

}  // namespace samphire
