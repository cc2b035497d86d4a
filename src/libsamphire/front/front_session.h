#ifndef FRONT_FRONT_SESSION_H_
#define FRONT_FRONT_SESSION_H_

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>

namespace samphire {

// A server session whose raw bytes can be read, for bodies whose end must be
// known for certain.
class front_session final : public Poco::Net::HTTPServerSession {
 public:
  front_session(const Poco::Net::StreamSocket& socket,
                Poco::Net::HTTPServerParams::Ptr params);

  int ReadRaw(char* buffer, std::streamsize length);
  bool HasBuffered() const;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SESSION_H_
