#ifndef ROUTING_SENT_REQUEST_H_
#define ROUTING_SENT_REQUEST_H_

namespace samphire {

// What is known of one send of a request to a target.
struct sent_request {
  // Whether the target may have received the request.
  bool arrived = false;
  // Whether the target may be running it or have run it.
  bool may_have_run = false;
  // Whether it was lost on a connection that the target may have closed before.
  // It may have run all the same.
  bool may_have_been_stale = false;
};

}  // namespace samphire

#endif  // ROUTING_SENT_REQUEST_H_
