#ifndef BASE_SIGNAL_BLOCK_H_
#define BASE_SIGNAL_BLOCK_H_

#include <csignal>
#include <initializer_list>

namespace samphire {

// Blocks `signals` in the calling thread and in all threads that it creates
// later, so that they are delivered only through sigwait() on the returned set.
// Must be called before the first thread is created.
sigset_t BlockSignals(std::initializer_list<int> signals);

}  // namespace samphire

#endif  // BASE_SIGNAL_BLOCK_H_
