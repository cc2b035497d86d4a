#include "front/request_head_receiver.h"

#include <Poco/Exception.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

namespace {

// Bounds one wait, since poll() takes an int.
constexpr std::int64_t kMaxPollMs = 60'000;

enum class wait_end { kInput, kRefusing, kTimeout };

// Waits for the caller and for the port to refuse in one poll(). Checking the
// phase periodically instead would wake each of hundreds of idle connections
// many times a second. A caller whose request is on its way when the port
// starts refusing could not tell whether it ran, if the connection were just
// closed.
wait_end AwaitInput(Poco::Net::StreamSocket& socket,
                    const front_shared_state& shared_state,
                    time_point deadline) {
  while (true) {
    const auto time_left = std::max<std::int64_t>(
        0, std::chrono::ceil<milliseconds>(deadline -
                                           std::chrono::steady_clock::now())
               .count());
    std::array<pollfd, 2> entries{{
        {socket.impl()->sockfd(), POLLIN, 0},
        {shared_state.refusing.descriptor(), POLLIN, 0},
    }};
    const int ready = poll(entries.data(), entries.size(),
                           static_cast<int>(std::min(time_left, kMaxPollMs)));
    if (entries[0].revents != 0)
      return wait_end::kInput;
    if (entries[1].revents != 0)
      return wait_end::kRefusing;
    if (ready <= 0 && time_left == 0)
      return wait_end::kTimeout;
  }
}

// Receives input until `deadline`. Returns why there is none; `on_timeout` says
// what the end of the time means.
result_code Receive(front_session& session,
                    const front_shared_state& shared_state,
                    time_point deadline,
                    result_code on_timeout) {
  switch (AwaitInput(session.socket(), shared_state, deadline)) {
    case wait_end::kInput:
      return session.Fill() ? result_code::kOk : result_code::kCallerGone;
    case wait_end::kRefusing:
      return result_code::kEntryLeaving;
    case wait_end::kTimeout:
      break;
  }
  return on_timeout;
}

// What the caller is told of a head that is not complete.
result_code CodeOf(head_progress progress) {
  return progress == head_progress::kTooLong ? result_code::kHeaderTooLarge
                                             : result_code::kMalformedRequest;
}

result<head_text> ReceiveHead(front_session& session,
                              const front_shared_state& shared_state) {
  head_text head(head_kind::kRequest, shared_state.max_header_bytes);
  const auto begun = std::chrono::steady_clock::now();
  if (!session.HasBuffered()) {
    const auto first =
        Receive(session, shared_state, begun + shared_state.idle_timeout.load(),
                result_code::kCallerGone);
    if (first != result_code::kOk)
      return MakeError(first);
  }
  const auto deadline =
      std::chrono::steady_clock::now() + shared_state.header_timeout.load();
  while (true) {
    session.Skip(head.Take(session.buffered_bytes()));
    if (head.progress() == head_progress::kComplete)
      return head;
    if (head.progress() != head_progress::kIncomplete)
      return MakeError(CodeOf(head.progress()),
                       "a line is no line of a head, or the head is too long");
    const auto more =
        Receive(session, shared_state, deadline, result_code::kRequestTooSlow);
    if (more != result_code::kOk)
      return MakeError(more);
  }
}

}  // namespace

// Each connection occupies a thread. A caller that sends its head one byte at a
// time (a Slowloris attack) could hold the thread indefinitely, since each byte
// restarts the socket's own timeout; some hundred such connections would block
// all other callers. So the time and size limits apply to the head as a whole.
result<head_text> ReceiveRequestHead(front_session& session,
                                     const front_shared_state& shared_state) {
  try {
    return ReceiveHead(session, shared_state);
  } catch (const Poco::Exception&) {
    return MakeError(result_code::kCallerGone);
  }
}

}  // namespace samphire
