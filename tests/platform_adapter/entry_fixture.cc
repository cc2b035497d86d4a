#include "platform_adapter/entry_fixture.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "platform_adapter/wire_text.h"
#include "support/free_address.h"
#include "support/wait_until.h"

namespace samphire::platform {

using namespace std::chrono_literals;

platform_settings TestSettings(const std::string& store) {
  platform_settings settings;
  auto& traffic = settings.traffic;
  traffic.place = {"entry-1", "a-1", "a"};
  for (auto* address : {&traffic.caller_address, &traffic.readiness_address,
                        &traffic.lookup_address, &traffic.peer_address,
                        &traffic.metrics_address})
    *address = FreeAddress();
  traffic.peer_key = "0123456789abcdef0123456789abcdef";
  traffic.settle_time = 0ms;
  traffic.is_first_start = true;
  traffic.discovery_time = 0ms;
  traffic.bounds.limit_slack = 20;
  settings.store_addresses = {store};
  settings.regions = {{"a-1", "a"}};
  return settings;
}

std::string SettingsText(const platform_settings& settings,
                         std::chrono::milliseconds grace,
                         std::chrono::milliseconds lookup_ttl) {
  const auto& traffic = settings.traffic;
  return fmt::format(
      R"({{"instance":"{}","failure_domain":"a-1","region":"a",)"
      R"("failure_domains":{{"a-1":"a"}},"caller_address":"{}",)"
      R"("readiness_address":"{}","lookup_address":"{}",)"
      R"("peer_address":"{}","metrics_address":"{}","seeds":["{}"],)"
      R"("store_addresses":["{}"],"peer_key":"{}",)"
      R"("bounds":["grace={}ms","ttl_max={}ms","retryBudgetRatio=0.2",)"
      R"("retryBudgetSlack=60","stableWindow=500ms"]}})",
      traffic.place.instance, traffic.caller_address, traffic.readiness_address,
      traffic.lookup_address, traffic.peer_address, traffic.metrics_address,
      fmt::join(traffic.seeds, R"(",")"),
      fmt::join(settings.store_addresses, R"(",")"), traffic.peer_key,
      grace.count(), lookup_ttl.count());
}

std::unique_ptr<platform_entry> StartEntry(const platform_settings& settings,
                                           const connection_opener& opener) {
  auto entry = std::make_unique<platform_entry>(
      settings, peer_keys::Parse(settings.traffic.peer_key).value(), opener);
  entry->Start();
  return entry;
}

call_response SendCall(const std::string& address, const call_request& input) {
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  Poco::Net::HTTPRequest request(input.method, input.path, "HTTP/1.1");
  request.setHost("h.example");
  request.set("Request-Id", input.id);
  request.set("Affinity-Key", input.affinity_key);
  request.set("Request-Deadline", input.deadline);
  for (const auto& [name, value] : input.headers)
    request.add(name, value);
  request.setContentLength(static_cast<std::streamsize>(input.body.size()));
  session.sendRequest(request) << input.body;
  Poco::Net::HTTPResponse response;
  call_response got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got.body);
  got.status = response.getStatus();
  got.stamp = response.get("Server-Stamp", "");
  got.retry_after = response.get("Retry-After", "");
  return got;
}

bool IsReady(const platform_settings& settings) {
  return SendCall(settings.traffic.readiness_address,
                  {.path = "/samphirewinch/ready"})
             .status == 200;
}

bool Eventually(const std::function<bool()>& holds) {
  return WaitUntil(holds, 10s);
}

test_setup::test_setup() {
  stand_in.Write("config/main", ManifestObject("00000003"));
  for (auto* target : {&read_1, &read_2})
    stand_in.Write("servers/" + target->id(),
                   TargetObject(target->address(), "reads"));
  for (auto* target : {&write_1, &write_2})
    stand_in.Write("servers/" + target->id(),
                   TargetObject(target->address(), "writes"));
}

void test_setup::StartReady() {
  Start();
  REQUIRE(Eventually([&] { return Ready(); }));
}

call_response test_setup::RequestWithKey(const std::string& key,
                                         const std::string& path) const {
  return Request({.path = path, .headers = {{"Credential", key}}});
}

}  // namespace samphire::platform
