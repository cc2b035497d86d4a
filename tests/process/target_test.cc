#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "history/echo_body.h"
#include "history/history_index.h"
#include "history/history_reader.h"
#include "http_call.h"
#include "support/child_process.h"
#include "support/wait_until.h"

using namespace samphire;

namespace {

// A real samphire-target process that simulates one target of service "s" with
// two slots.
class target_process {
 public:
  explicit target_process(std::vector<std::string> more = {}) {
    std::vector<std::string> arguments{"--listen=127.61.9.1:0", "--service=s",
                                       "--slots=2", "--restart_ms=50",
                                       "--history=" + history_.path()};
    arguments.insert(arguments.end(), more.begin(), more.end());
    process_ = std::make_unique<child_process>("samphire-target", arguments,
                                               "/dev/null");
    const auto line = process_->ReadLine();
    address_ = Poco::JSON::Parser()
                   .parse(line)
                   .extract<Poco::JSON::Object::Ptr>()
                   ->getArray("targets")
                   ->getObject(0)
                   ->getValue<std::string>("address");
  }

  http_reply Get(const std::string& id,
                 std::map<std::string, std::string> headers = {}) const {
    headers["Request-Id"] = id;
    return Call({.address = address_, .path = "/levels/1", .headers = headers});
  }
  http_reply Admin(const std::string& path) const {
    return Call({.method = "POST", .address = address_, .path = path});
  }
  // Waits until the run of a request has ended and returns its outcome.
  run_outcome OutcomeOf(const std::string& id) const {
    run_outcome outcome = run_outcome::kFinished;
    REQUIRE(WaitUntil([&] {
      const auto events = ReadHistories({history_.path()}).value();
      const history_index index(events);
      for (const auto& [number, run] : index.runs()) {
        if (run.start.request_id == id && run.end != nullptr) {
          outcome = run.end->outcome;
          return true;
        }
      }
      return false;
    }));
    return outcome;
  }
  // Returns whether the request has acquired a slot.
  bool Started(const std::string& id) const {
    const auto events = ReadHistories({history_.path()}).value();
    const history_index index(events);
    for (const auto& [number, run] : index.runs()) {
      if (run.start.request_id == id)
        return true;
    }
    return false;
  }
  // Starts a request that takes `ms` milliseconds on a new thread, which the
  // test must join, and waits until it has acquired a slot.
  std::thread Occupy(const std::string& id, const std::string& ms) {
    std::thread busy([this, id, ms] { Get(id, {{"Target-Sleep-Ms", ms}}); });
    REQUIRE(WaitUntil([&] { return Started(id); }));
    return busy;
  }

  const std::string& address() const { return address_; }
  child_process& process() { return *process_; }

 private:
  Poco::TemporaryFile history_;
  std::unique_ptr<child_process> process_;
  std::string address_;
};

}  // namespace

TEST_CASE("a target answers with whose answer it is, whole or visibly cut") {
  const target_process target;
  const auto whole = target.Get("one", {{"Target-Bytes", "1000"}});
  CHECK(whole.status == 200);
  const auto end = whole.body.find('\n') + 1;
  const auto header = DecodeEchoHeader(whole.body.substr(0, end));
  REQUIRE(header);
  CHECK(header->request_id == "one");
  CHECK(std::to_string(header->run) == whole.headers.at("Target-Run"));
  CHECK(whole.body.substr(end) == EchoFiller("one", 0, 1000));
  CHECK(target.OutcomeOf("one") == run_outcome::kFinished);
  const auto cut =
      target.Get("two", {{"Target-Bytes", "1000"}, {"Target-Truncate", "200"}});
  CHECK(cut.body.size() == 200);
  CHECK(cut.headers.at("Content-Length") > "1000");
  CHECK(target.OutcomeOf("two") == run_outcome::kAborted);
}

// A caller disconnects while its request is running. A request that continued
// would occupy a slot that other callers need.
TEST_CASE("a target stops work whose caller left or whose deadline passed") {
  const target_process target;
  {
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(target.address())};
    const std::string request =
        "GET / HTTP/1.1\r\nHost: t\r\nRequest-Id: gone\r\n"
        "Target-Sleep-Ms: 60000\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    REQUIRE(WaitUntil([&] { return target.Started("gone"); }));
  }
  CHECK(target.OutcomeOf("gone") == run_outcome::kCancelled);
  const auto late = target.Get("late", {{"Target-Sleep-Ms", "60000"},
                                        {"Samphirewinch-Deadline-Ms", "20"}});
  CHECK(late.status == 504);
  CHECK(target.OutcomeOf("late") == run_outcome::kCancelled);
}

TEST_CASE(
    "a target with busy slots sheds, a leaving one finishes and refuses") {
  target_process target;
  auto first = target.Occupy("first", "300");
  auto second = target.Occupy("second", "300");
  const auto shed = target.Get("third");
  CHECK(shed.status == 503);
  CHECK(shed.headers.at("Target-Shed") == "1");
  CHECK(target.Admin("/admin/drain").status == 200);
  first.join();
  second.join();
  CHECK(target.OutcomeOf("first") == run_outcome::kFinished);
  CHECK(target.Get("fourth").headers.at("Target-Shed") == "1");
  CHECK_FALSE(target.Started("fourth"));
  target.Admin("/admin/undrain");
  CHECK(target.Get("fifth").status == 200);
}

// A request crashes the target. All other requests that run there are cut off
// too, until the target has restarted.
TEST_CASE("a crash cuts what runs, and the target comes back") {
  target_process target;
  auto other = target.Occupy("other", "60000");
  CHECK(target.Get("poison", {{"Target-Crash", "1"}}).status == 0);
  other.join();
  CHECK(target.OutcomeOf("other") == run_outcome::kAborted);
  CHECK(target.OutcomeOf("poison") == run_outcome::kAborted);
  CHECK(WaitUntil([&] { return target.Get("after").status == 200; }));
}

TEST_CASE("a load report may lie, and a stopped target ends what it runs") {
  target_process target({"--load_lie=0"});
  auto busy = target.Occupy("busy", "200");
  const auto report = Call({.address = target.address(), .path = "/load"});
  CHECK(report.body.find("\"in_flight\":0") != std::string::npos);
  target.process().Signal(SIGTERM);
  CHECK(target.process().Wait() == 0);
  busy.join();
  CHECK(target.OutcomeOf("busy") == run_outcome::kFinished);
}
