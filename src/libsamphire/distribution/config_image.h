#ifndef DISTRIBUTION_CONFIG_IMAGE_H_
#define DISTRIBUTION_CONFIG_IMAGE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>
#include <vector>

#include "config/declaration.h"
#include "distribution/config_chunk.h"
#include "distribution/config_root.h"

namespace samphire {

// The declaration without its client blocks. Immutable; shared by images that
// differ in client blocks only.
struct config_frame : boost::intrusive_ref_counter<config_frame> {
  samphire::declaration declaration;

  explicit config_frame(samphire::declaration d) : declaration(std::move(d)) {}
};

using frame_ptr = boost::intrusive_ptr<const config_frame>;

// One complete and validated version of the configuration. Immutable and
// reference-counted, so it may be read from any thread.
class config_image : public boost::intrusive_ref_counter<config_image> {
 public:
  config_image(std::string root_text,
               config_root root,
               frame_ptr frame,
               chunk_map chunks);

  std::uint64_t version() const { return root_.change.version; }
  // Digest of the root's text, which covers everything that the root refers to.
  const std::string& digest() const { return digest_; }
  const std::string& root_text() const { return root_text_; }
  const config_root& root() const { return root_; }
  // The declaration without client blocks.
  const declaration& frame() const { return frame_->declaration; }
  const frame_ptr& shared_frame() const { return frame_; }
  // Ref of the tree of client blocks; equal for two images that share this
  // tree.
  const std::string& blocks_ref() const { return root_.blocks.ref; }
  const chunk_map& chunks() const { return chunks_; }
  // Returns the chunk with the digest of `ref`, or null.
  chunk_ptr FindChunk(std::string_view ref) const;

  using block_visitor = std::function<void(const client_block&)>;
  void ForEachClientBlock(const block_visitor& visit) const;
  // Returns the complete declaration, including all client blocks.
  declaration Assemble() const;

  // Whether the image was loaded with its history chunk.
  bool has_history() const { return FindChunk(root_.history) != nullptr; }
  // Returns the retained changes up to this version, the newest last; empty if
  // the history wasn't loaded.
  std::vector<config_change> History() const;

 private:
  const std::string root_text_;
  const std::string digest_;
  const config_root root_;
  const frame_ptr frame_;
  const chunk_map chunks_;
};

using image_ptr = boost::intrusive_ptr<const config_image>;

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_IMAGE_H_
