#ifndef STORE_STAND_IN_SERVER_H_
#define STORE_STAND_IN_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

#include "store/stand_in_faults.h"
#include "store/stand_in_objects.h"

namespace samphire {

// Serves the platform's protocol over HTTP from stand-in objects, on threads of
// its own, from construction to destruction.
class stand_in_server {
 public:
  // `address` is IP:PORT; port 0 selects a free one. `objects` must outlive the
  // server. Throws a Poco exception if the address cannot be bound.
  stand_in_server(const std::string& address, stand_in_objects& objects);
  ~stand_in_server();

  // The address that it listens on, IP:PORT.
  std::string address() const;
  // The faults to inject; may be changed at any time.
  stand_in_faults& faults() { return faults_; }

 private:
  stand_in_objects& objects_;
  stand_in_faults faults_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_SERVER_H_
