#ifndef FRONT_FRONT_SESSION_H_
#define FRONT_FRONT_SESSION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>

#include "base/cancel_signal.h"

namespace samphire {

// Server session that exposes its raw bytes, for reading request bodies with
// reliable detection of their end.
class front_session final : public Poco::Net::HTTPServerSession {
 public:
  // `cutting` happens when requests whose bodies still arrive are to be broken
  // off; it must outlive the session.
  front_session(const Poco::Net::StreamSocket& socket,
                Poco::Net::HTTPServerParams::Ptr params,
                const cancel_signal& cutting);

  const cancel_signal& cutting() const { return cutting_; }

  // Reads up to `length` bytes, buffered ones first. Returns 0 when the caller
  // has closed its side; throws Poco::Exception on a connection error.
  int ReadRaw(char* buffer, std::streamsize length);
  // Returns whether bytes were received that have not been read yet, such as a
  // pipelined request.
  bool HasBuffered() const;

 private:
  const cancel_signal& cutting_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SESSION_H_
