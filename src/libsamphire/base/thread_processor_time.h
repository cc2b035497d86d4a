#ifndef BASE_THREAD_PROCESSOR_TIME_H_
#define BASE_THREAD_PROCESSOR_TIME_H_

#include <chrono>

namespace samphire {

// Returns the processor time that the calling thread has used so far; 0 where
// the system does not tell. The difference between two calls is the work in
// between, without the time for which the thread waited for a processor.
std::chrono::nanoseconds ThreadProcessorTime();

}  // namespace samphire

#endif  // BASE_THREAD_PROCESSOR_TIME_H_
