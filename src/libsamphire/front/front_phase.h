#ifndef FRONT_FRONT_PHASE_H_
#define FRONT_FRONT_PHASE_H_

namespace samphire {

// Phases of a port on its way to being closed, in this order.
enum class front_phase {
  // Serves requests and keeps connections alive.
  kOpen,
  // Serves requests, but closes each connection after its response, so that
  // callers reconnect to other entries.
  kNoKeepAlive,
  // Refuses new requests and connections; requests that are already active run
  // to completion.
  kRefusing,
  // Also breaks off the requests whose bodies are still being received.
  kCutting,
};

}  // namespace samphire

#endif  // FRONT_FRONT_PHASE_H_
