#ifndef STORE_STAND_IN_SERVER_H_
#define STORE_STAND_IN_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

#include "store/stand_in_faults.h"
#include "store/stand_in_objects.h"

namespace samphire {

// The platform's protocol over HTTP, on stand-in objects. Serves from its
// construction to its end.
class stand_in_server {
 public:
  // `address` is IP:PORT; port 0 takes a free one. Throws a Poco exception if
  // it can't be bound.
  stand_in_server(const std::string& address, stand_in_objects& objects);
  ~stand_in_server();

  // IP:PORT that it listens on.
  std::string address() const;
  stand_in_faults& faults() { return faults_; }

 private:
  stand_in_objects& objects_;
  stand_in_faults faults_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_SERVER_H_
