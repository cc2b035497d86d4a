#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "gateway/peer_signer.h"
#include "peer/peer_token.h"
#include "platform_adapter/upload_fleet.h"
#include "traffic/sending/relayed_call.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLong = 300'000;
// More than the configuration allows in a body.
constexpr std::size_t kTooLong = 1'100'000;
constexpr int kTooLongStatus = 413;
// At the edges of an entry's buffers (16 KiB, 128 KiB) and beyond them.
const std::vector<int> kPlaces{0, 1, 16'384, 131'072, 131'073, 200'000};
// Bytes in place of a chunk of which no reader may make an end.
const std::vector<std::string> kBrokenChunks{
    "zz\r\nhello\r\n0\r\n\r\n",
    "-5\r\nhello\r\n0\r\n\r\n",
    "0x5\r\nhello\r\n0\r\n\r\n",
    "5\nhello\r\n0\r\n\r\n",
    "5\r\nhelloX\r\n0\r\n\r\n",
    "5;\x01\r\nhello\r\n0\r\n\r\n",
    "ffffffffffffffff\r\nhello\r\n0\r\n\r\n",
    "\r\n0\r\n\r\n",
    // A last chunk that has no end, or stands in place of another size.
    "0\r\n",
    "0\r\nhello\r\n0\r\n\r\n",
    "0\r\nhe:lo\r\n5\r\nhello\r\n0\r\n\r\n",
    "0\r\n\n",
    "0\n\n",
    "0 5\r\n\r\n",
};

// Calls `check` while the entry reaches targets itself, and again while others
// pass its requests on.
void BothWays(upload_fleet& fleet, const std::function<void()>& check) {
  check();
  fleet.CutLinks(link_cut::kRefuseNew);
  check();
}

int CutBodies(const upload_fleet& fleet) {
  return fleet.first.cut_bodies + fleet.second.cut_bodies;
}

// Asks an entry to pass an upload on, as another entry does that keeps the rest
// of the body until it is asked for it.
class asking_entry {
 public:
  asking_entry(const platform_settings& asked, const digest_target& target)
      : address_(asked.traffic.peer_address),
        target_(target),
        signer_(peer_keys::Parse(asked.traffic.peer_key).value(),
                {.instance = "entry-9", .incarnation = 1},
                clock_) {}

  // Sends the head and the first bytes of the body, and no more. With
  // `until_asked` it waits until the other one asks for the rest.
  void Offer(const upload_call& call,
             std::size_t start_bytes,
             bool until_asked) {
    const auto start = BodyOf(call).substr(0, start_bytes);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address_)};
    std::ostringstream text;
    HeadOf(call, start).write(text);
    auto bytes = text.str();
    if (call.framing == upload_framing::kChunks)
      bytes += fmt::format("{:x}\r\n{}\r\n", start.size(), start);
    else
      bytes += start;
    for (std::size_t at = 0; at < bytes.size();)
      at += static_cast<std::size_t>(socket.sendBytes(
          bytes.data() + at, static_cast<int>(bytes.size() - at)));
    if (!until_asked)
      return;
    std::array<char, 64> answer{};
    socket.setReceiveTimeout(Poco::Timespan(3, 0));
    const int got = socket.receiveBytes(answer.data(), answer.size());
    CHECK(std::string(answer.data(), std::max(got, 0))
              .starts_with("HTTP/1.1 100"));
  }

 private:
  Poco::Net::HTTPRequest HeadOf(const upload_call& call,
                                const std::string& start) {
    Poco::Net::HTTPRequest head("POST", call.path, "HTTP/1.1");
    head.setHost("h.example");
    head.set("Request-Id", call.id);
    head.set("Request-Deadline", "2000");
    head.set("Target-Instance", target_.id());
    if (call.framing == upload_framing::kChunks)
      head.setChunkedTransferEncoding(true);
    else
      head.setContentLength(static_cast<std::streamsize>(call.bytes));
    head.set(kHeaderRelayService, "writes");
    head.set(kHeaderRelayTarget, target_.id());
    head.set(kHeaderRelayIdempotent, "0");
    head.set(kHeaderRelayAsk, "1");
    head.set(kHeaderRelaySigned, std::to_string(start.size()));
    head.set(kPeerTokenHeader,
             signer_.Sign({.method = "POST",
                           .request_target = call.path,
                           .receiver_address = address_,
                           .signed_content = RelayedContent(head, start)}));
    return head;
  }

  const std::string address_;
  const digest_target& target_;
  const system_clock_source clock_;
  peer_signer signer_;
};

}  // namespace

// Guards against bytes of a caller that are no chunk and are taken for the end
// of its body: the upload would run cut short.
TEST_CASE("an upload with a malformed chunk does not run") {
  upload_fleet fleet;
  BothWays(fleet, [&] {
    for (const int at : kPlaces) {
      for (const auto& chunk : kBrokenChunks) {
        for (const bool waits : {false, true}) {
          const bool ends = chunk.ends_with("\r\n\r\n") || !waits;
          if (!ends)
            continue;
          INFO("'" << chunk << "' after " << at << " bytes");
          CHECK(fleet.Upload({.framing = upload_framing::kChunks,
                              .bytes = kLong,
                              .leaves_after = at,
                              .breaks_off_with = chunk,
                              .waits = waits}) != upload_fleet::kOk);
        }
      }
    }
  });
  CHECK(CutBodies(fleet) > 0);
  fleet.CheckRuns();
}

// Guards against an upload that is longer than allowed and runs with the part
// that is allowed.
TEST_CASE("an upload that is too long does not run") {
  upload_fleet fleet;
  BothWays(fleet, [&] {
    for (const auto framing : kUploadFramings) {
      const int status = fleet.Upload({.framing = framing, .bytes = kTooLong});
      CHECK((status == kTooLongStatus || status == 0));
    }
  });
  fleet.CheckRuns();
  CHECK(fleet.first.runs().size() + fleet.second.runs().size() > 0);
}

// Guards against an upload whose time is over while the caller sends it, and
// that ends there for its target.
TEST_CASE("an upload that does not arrive in its time does not run") {
  upload_fleet fleet;
  BothWays(fleet, [&] {
    for (const auto framing : kUploadFramings) {
      for (const int at : {0, 131'072, 200'000}) {
        CHECK(fleet.Upload({.framing = framing,
                            .bytes = kLong,
                            .leaves_after = at,
                            .waits = true,
                            .deadline_ms = 500}) != upload_fleet::kOk);
      }
    }
  });
  CHECK(CutBodies(fleet) > 0);
  fleet.CheckRuns();
}

// Guards against an upload that ends for its target with the entry that sends
// it, or with the one that passes it on.
TEST_CASE("an upload whose entry is stopped does not run cut short") {
  const bool relayed = GENERATE(false, true);
  upload_fleet fleet;
  if (relayed)
    fleet.CutLinks(link_cut::kRefuseNew);
  std::vector<std::jthread> callers;
  std::vector<upload_call> calls;
  for (const auto framing : kUploadFramings) {
    for (const int at : {16'384, 131'073, 200'000}) {
      calls.push_back({.id = "u" + std::to_string(++fleet.uploads),
                       .framing = framing,
                       .bytes = kLong,
                       .leaves_after = at,
                       .waits = true,
                       .deadline_ms = 2000});
      fleet.sent[calls.back().id] = calls.back();
    }
  }
  const auto address =
      fleet.settings[upload_fleet::kEntry].traffic.caller_address;
  callers.reserve(calls.size());
  for (const auto& call : calls)
    callers.emplace_back([&address, call] { SendUpload(address, call); });
  std::this_thread::sleep_for(300ms);
  {
    std::lock_guard guard(fleet.entries_lock);
    const auto first = relayed ? 1 : 0;
    for (auto entry = first; entry < (relayed ? 4 : 1); ++entry)
      fleet.entries[static_cast<std::size_t>(entry)]->Drain();
    fleet.entries.erase(fleet.entries.begin() + first,
                        fleet.entries.begin() + (relayed ? 4 : 1));
  }
  callers.clear();
  CHECK(CutBodies(fleet) > 0);
  fleet.CheckRuns();
}

// Guards against an entry that asks for the rest of a body when nobody waits
// any more, and takes the start that it has for the whole.
TEST_CASE("an upload whose rest is never given does not run") {
  upload_fleet fleet;
  for (const bool until_asked : {false, true}) {
    for (const auto framing : kUploadFramings) {
      for (const std::size_t start : {std::size_t{0}, std::size_t{131'072}}) {
        for (const auto* target : {&fleet.first, &fleet.second}) {
          upload_call call{.id = "u" + std::to_string(++fleet.uploads),
                           .framing = framing,
                           .bytes = kLong};
          if (start == 0 && framing == upload_framing::kChunks)
            continue;  // An empty chunk would be the last one.
          fleet.sent[call.id] = call;
          asking_entry asking(fleet.settings[1], *target);
          asking.Offer(call, start, until_asked);
        }
      }
    }
  }
  // One that has left before is not asked.
  CHECK(Eventually([&] { return CutBodies(fleet) > 0; }));
  std::this_thread::sleep_for(300ms);
  fleet.CheckRuns();
}
