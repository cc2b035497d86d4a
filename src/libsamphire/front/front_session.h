#ifndef FRONT_FRONT_SESSION_H_
#define FRONT_FRONT_SESSION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "base/cancel_signal.h"

namespace samphire {

// The connection of a caller with the bytes that were received on it and not
// used yet. Heads and bodies are read from here, never by the library's own
// parsers. Not thread-safe.
class front_session final : public Poco::Net::HTTPServerSession {
 public:
  // `cutting` happens when requests whose bodies still arrive are to be broken
  // off; it must outlive the session.
  front_session(const Poco::Net::StreamSocket& socket,
                Poco::Net::HTTPServerParams::Ptr params,
                const cancel_signal& cutting);

  const cancel_signal& cutting() const { return cutting_; }

  // Whether bytes were received that have not been read yet, such as a
  // pipelined request.
  bool HasBuffered() const { return !buffered_bytes().empty(); }
  // These bytes. Valid until the next call of Fill(), Skip() or ReadRaw().
  std::string_view buffered_bytes() const {
    return std::string_view(input_).substr(used_);
  }
  // Receives more bytes, up to 16 KiB; blocks until some arrive. Returns false
  // when the caller has closed its side; throws Poco::Exception on a connection
  // error.
  bool Fill();
  // Drops the first `count` buffered bytes.
  void Skip(std::size_t count);
  // Reads up to `length` bytes, buffered ones first. Returns 0 when the caller
  // has closed its side; throws Poco::Exception on a connection error.
  int ReadRaw(char* buffer, std::streamsize length);

 private:
  const cancel_signal& cutting_;
  std::string input_;
  // Number of bytes at the start of `input_` that were used.
  std::size_t used_ = 0;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SESSION_H_
