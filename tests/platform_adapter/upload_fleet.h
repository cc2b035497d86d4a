#ifndef TESTS_PLATFORM_ADAPTER_UPLOAD_FLEET_H_
#define TESTS_PLATFORM_ADAPTER_UPLOAD_FLEET_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "platform_adapter/digest_target.h"
#include "platform_adapter/fleet_fixture.h"
#include "platform_adapter/upload_call.h"

namespace samphire::platform {

inline constexpr auto kUploadFramings = {upload_framing::kLength,
                                         upload_framing::kChunks};

// A fleet whose uploads go to two targets that keep digests.
struct upload_fleet : ticking_fleet {
  // The entry that callers use.
  static constexpr std::size_t kEntry = 0;
  // Time after which an entry no longer takes an earlier connection for a proof
  // that its links work.
  static constexpr std::chrono::milliseconds kQuiet{900};
  static constexpr int kOk = 200;
  static constexpr int kNotRun = 503;

  digest_target first{"i-first"};
  digest_target second{"i-second"};
  std::map<std::string, upload_call> sent;
  std::map<std::string, int> statuses;
  int uploads = 0;
  // Uploads up to this one are not checked.
  int forgotten = 0;

  // Without links that can be cut, a target that does not listen refuses
  // connections.
  explicit upload_fleet(bool has_links = true);

  int Upload(upload_call call, std::size_t entry = kEntry);
  void ForgetUploads();
  // Returns a key whose uploads the target gets.
  std::string KeyOf(const digest_target& target);
  // Cuts the links of the entry that callers use, so that others pass its
  // requests on.
  void CutLinks(link_cut cut);
  // Checks that each run has the body that its caller sent, that none ran
  // twice, and that callers were told the truth.
  void CheckRuns() const;

 private:
  bool IsServedByDigests(std::size_t entry);
  // Whether the target ran the last upload.
  bool HasRunLast(const digest_target& target) const;
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_UPLOAD_FLEET_H_
