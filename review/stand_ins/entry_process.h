#ifndef REVIEW_STAND_INS_ENTRY_PROCESS_H_
#define REVIEW_STAND_INS_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace review {

// The addresses of a machine on which an entry runs.
struct entry_machine {
  std::string name;
  std::string zone;
  std::string ip;
  std::string front;
  std::string ready;
  std::string control;
  std::string directory;
};

// Returns a machine with an IP address of its own and free ports.
entry_machine MakeMachine(const std::string& name, const std::string& zone);

// What the platform fills in for all machines of an installation.
struct installation {
  // JSON object: zone to region.
  std::string zones;
  // JSON object: the bounds, as `fleetbench wire` shows them.
  std::string bounds;
  // JSON array: `control` addresses.
  std::string seeds;
  std::string store_address;
  // Whether the whole system starts for the first time.
  bool bootstrap = true;
};

// The program of the deploy file, run as a process of its own with a settings
// file rendered from the deploy file's template. Not thread-safe.
class entry_process {
 public:
  // Writes the settings and the log into `folder`. Throws std::runtime_error if
  // no process can be created.
  entry_process(const entry_machine& machine,
                const installation& where,
                const std::string& region,
                const std::string& folder);
  // Kills the process if it still runs.
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  void Signal(int signal) const;
  bool running();
  // Number of descriptors that the process has open.
  std::size_t descriptors() const;

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_ENTRY_PROCESS_H_
