#ifndef BASE_SIGNAL_BLOCK_H_
#define BASE_SIGNAL_BLOCK_H_

#include <csignal>
#include <initializer_list>

namespace samphire {

// Blocks signals in this thread and in those that it starts from now on, so
// that they reach a sigwait for the returned set and nothing else. Called
// before the first thread starts.
sigset_t BlockSignals(std::initializer_list<int> signals);

}  // namespace samphire

#endif  // BASE_SIGNAL_BLOCK_H_
