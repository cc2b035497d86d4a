#include "ctl/ctl_runner.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>

#include <fstream>
#include <thread>

#include "ctl/operator_server.h"

namespace samphire {

ctl_runner::ctl_runner(const std::string& urls) : urls_(urls) {
  std::ofstream file(token_file_.path());
  file << kTestToken << "\n";
}

// The defaults come first, so that the flags of a test override them.
ctl_run ctl_runner::Run(const std::vector<std::string>& arguments) const {
  std::vector<std::string> whole{
      "--operator_url=" + urls_, "--token_file=" + token_file_.path(),
      "--settle_ms=1000", "--wait_ms=1000", "--operator=nimal"};
  whole.insert(whole.end(), arguments.begin(), arguments.end());
  return RunCtl(whole);
}

ctl_run RunCtl(const std::vector<std::string>& arguments) {
  Poco::Pipe output;
  Poco::Pipe errors;
  const auto process = Poco::Process::launch(
      SAMPHIRE_BIN_DIR "/samphirectl", arguments, nullptr, &output, &errors);
  ctl_run run;
  std::thread error_reader([&] {
    Poco::PipeInputStream stream(errors);
    Poco::StreamCopier::copyToString(stream, run.errors);
  });
  Poco::PipeInputStream stream(output);
  Poco::StreamCopier::copyToString(stream, run.output);
  error_reader.join();
  run.code = process.wait();
  return run;
}

}  // namespace samphire
