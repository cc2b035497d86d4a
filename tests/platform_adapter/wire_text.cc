#include "platform_adapter/wire_text.h"

#include <stdexcept>

#include <fmt/format.h>

namespace samphire::platform {

std::string TargetObject(const std::string& address,
                         const std::string& service,
                         const std::string& state) {
  return fmt::format(
      R"({{"spec":{{"address":"{}","info":{{"service":"{}","version":"v1",)"
      R"("zone":"a-1","slots":4}},"status":{{"state":"{}","seq":4,)"
      R"("coldLeft":"0ms"}}}},"status":null}})",
      address, service, state);
}

std::string WideTargetObject(const std::string& address,
                             const std::string& service,
                             int slots) {
  return Replaced(TargetObject(address, service), R"("slots":4)",
                  fmt::format(R"("slots":{})", slots));
}

bool GuaranteesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string ManifestObject(const std::string& version) {
  return R"({"spec":{"version":")" + version + R"(",
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
              "headerTimeout":"3000ms","idleTimeout":"15000ms"},
    "listeners":[{"host":"h.example","rules":[
      {"name":"r-read","kind":"safe","targetLatency":"250ms","priority":2,
       "sessionAffinity":true,"match":{"pathPrefix":"/read/"},
       "action":{"service":"reads","timeout":"0.8s","maxAttempts":2,
                 "homeRegions":[]}},
      {"name":"r-write","kind":"non_idempotent","targetLatency":"400ms",
       "priority":1,"sessionAffinity":false,"match":{"pathPrefix":"/write/"},
       "action":{"weightedBackends":[{"service":"writes","weight":90},
                                     {"service":"none","weight":0}],
                 "timeout":"800ms","maxAttempts":2,"homeRegions":["a"]}}]}],
    "clusters":[{"name":"reads","healthPath":"/health","maxConns":360,
                 "protocol":"h1","tls":false,"warmup":"3s","coldPerS":11.0},
                {"name":"writes","healthPath":"/health","maxConns":360,
                 "protocol":"h1","tls":false,"warmup":"3s","coldPerS":11.0}]}})";
}

std::string TimedManifestObject(const std::string& version,
                                std::chrono::milliseconds timeout) {
  const auto text = fmt::format(R"("timeout":"{}ms")", timeout.count());
  return Replaced(
      Replaced(ManifestObject(version), R"("timeout":"0.8s")", text),
      R"("timeout":"800ms")", text);
}

std::string UploadManifestObject(const std::string& version) {
  const auto with_route =
      Replaced(ManifestObject(version), R"("homeRegions":["a"]}}]}])",
               R"("homeRegions":["a"]}},
      {"name":"r-upload","kind":"upload","targetLatency":"400ms",
       "priority":1,"sessionAffinity":false,"match":{"pathPrefix":"/upload/"},
       "action":{"service":"uploads","timeout":"1500ms","maxAttempts":2,
                 "homeRegions":[]}}]}])");
  return Replaced(
      with_route, R"("clusters":[)",
      R"("clusters":[{"name":"uploads","healthPath":"/health","maxConns":360,
                 "protocol":"h1","tls":false,"warmup":"3s","coldPerS":11.0},)");
}

std::string TeamManifestObject(const std::string& version,
                               bool anonymous_reads) {
  auto manifest = Replaced(ManifestObject(version), R"("listeners")",
                           R"("tenants":[
      {"name":"team-1","apiKeys":["key-1","key-2"],"priority":1,
       "ratePerS":50,"burst":20.5,"homeRegions":[]},
      {"name":"team-2","apiKeys":["key-3"],"priority":1,
       "homeRegions":["b"]}],"listeners")");
  if (anonymous_reads)
    manifest = Replaced(manifest, R"("kind":"safe")",
                        R"("noAuth":true,"kind":"safe")");
  return manifest;
}

std::string HeaderOf(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return {};
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string Replaced(std::string text,
                     const std::string& what,
                     const std::string& by) {
  const auto at = text.find(what);
  if (at == std::string::npos)
    throw std::invalid_argument(what + " does not occur in the text");
  return text.replace(at, what.size(), by);
}

std::string CrowdedManifestObject(const crowded_manifest& content) {
  std::string listeners;
  for (std::size_t i = 0; i < content.routes; ++i) {
    const auto rule = fmt::format(
        R"({{"name":"r-{0}","kind":"safe","targetLatency":"250ms",)"
        R"("priority":2,"noAuth":false,"sessionAffinity":true,)"
        R"("match":{{"pathPrefix":"/r{0}/"}},"action":{{"service":"reads",)"
        R"("timeout":"{1}ms","maxAttempts":2,"homeRegions":[]}}}})",
        i, i < content.changed_routes ? 900 : 800);
    if (i > 0)
      listeners += ",";
    if (content.one_host)
      listeners += rule;
    else
      listeners +=
          fmt::format(R"({{"host":"h{}.example","rules":[{}]}})", i, rule);
  }
  if (content.one_host)
    listeners =
        fmt::format(R"({{"host":"h.example","rules":[{}]}})", listeners);
  return fmt::format(
      R"({{"metadata":{{"name":"main","rev":{0}}},"spec":{{)"
      R"("version":"{0:08x}","limits":{{"maxHeaderBytes":16384}},)"
      R"("listeners":[{1}],"clusters":[{{"name":"reads","warmup":"3s",)"
      R"("coldPerS":11.0}}]}},"status":null}})",
      content.version, listeners);
}

}  // namespace samphire::platform
