#ifndef FRONT_FRONT_PHASE_H_
#define FRONT_FRONT_PHASE_H_

namespace samphire {

// How far a port is on its way to being closed.
enum class front_phase {
  kOpen,
  // Serves on, but keeps no connection, so that callers come to use others.
  kLeaving,
  // Requests that come now are refused; those that run go on.
  kTurningAway,
};

}  // namespace samphire

#endif  // FRONT_FRONT_PHASE_H_
