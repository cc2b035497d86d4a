#ifndef TESTS_SOAK_UPLOAD_LOAD_H_
#define TESTS_SOAK_UPLOAD_LOAD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "platform_adapter/digest_target.h"
#include "platform_adapter/upload_call.h"
#include "support/relay.h"

namespace samphire {

// Targets of a service of uploads, the uploads that were sent, some with odd
// heads, and what became of them. SendOne() may be called from one thread
// beside the others.
class upload_load {
 public:
  explicit upload_load(std::uint64_t seed);

  // Returns the object of each target in the store, by key.
  std::map<std::string, std::string> Objects() const;
  // Addresses at which entries reach the targets.
  std::vector<std::string> Addresses() const;
  // Lets a target refuse requests, close connections within bodies or lose its
  // connections, or ends that.
  void InjectFault();
  void RemoveFaults();

  // Sends an upload of random size and framing; some callers leave within it.
  void SendOne(const std::string& entry_address);
  // Returns descriptions of uploads that ran changed, twice or though nobody
  // sent them, or whose caller was not told the truth.
  std::vector<std::string> Violations() const;
  int served() const;
  // Number of uploads whose heads were odd but valid, and malformed.
  int odd_heads() const;
  int malformed_heads() const;

 private:
  struct target {
    std::unique_ptr<platform::digest_target> process;
    std::unique_ptr<relay> link;
  };
  struct sent_upload {
    platform::upload_call call;
    // Whether no reader should take the head.
    bool is_malformed = false;
    // HTTP status; 0 without a response.
    int status = 0;
  };

  // Gives every few uploads an odd head.
  void SpoilHead(sent_upload& upload);

  std::mt19937_64 random_;
  std::mt19937_64 fault_random_;
  std::mt19937_64 odd_random_;
  std::vector<target> targets_;
  mutable std::mutex lock_;
  std::map<std::string, sent_upload> sent_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_UPLOAD_LOAD_H_
