#ifndef FRONT_FRONT_RESPONSE_H_
#define FRONT_FRONT_RESPONSE_H_

#include <Poco/Net/HTTPServerResponse.h>

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>

#include "front/front_session.h"
#include "front/front_shared_state.h"
#include "metrics/metrics.h"

namespace samphire {

// A response that tells its caller to close the connection if the entry is
// being stopped by the time at which the response begins. A head that can't be
// sent is replaced by a refusal with kUnsendableHead. Used only by the thread
// of its connection.
class front_response final : public Poco::Net::HTTPServerResponse {
 public:
  front_response(front_session& session,
                 const front_shared_state& shared_state,
                 samphire::metrics& counters);

  // The request was HEAD, whose response has no body whatever it declares.
  void SetBodiless() { is_bodiless_ = true; }

  std::ostream& send() override;
  void sendBuffer(const void* buffer, std::size_t length) override;
  bool sent() const override { return stream_ != nullptr; }

  // Not implemented: nothing of the entry sends these. They throw
  // Poco::NotImplementedException.
  void sendContinue() override;
  void sendFile(const std::string& path,
                const std::string& media_type) override;
  void redirect(const std::string& uri, HTTPStatus status) override;
  void requireAuthentication(const std::string& realm) override;

 private:
  bool HasBody() const;
  // Returns the stream for a body as the headers declare it, with the head
  // written to it.
  std::unique_ptr<std::ostream> Open(const std::string& head);
  // Sends a refusal in place of this response, and returns a stream that drops
  // the body.
  std::unique_ptr<std::ostream> RefuseUnsendable(const std::string& why);

  front_session& session_;
  const front_shared_state& shared_state_;
  samphire::metrics& metrics_;
  bool is_bodiless_ = false;
  std::unique_ptr<std::ostream> stream_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_RESPONSE_H_
