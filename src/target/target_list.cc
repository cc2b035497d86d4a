#include "target_list.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fstream>
#include <map>

namespace samphire {

namespace {

using Poco::JSON::Object;

// Failure domain → region.
std::map<std::string, std::string> ReadRegions(const Object& declaration) {
  std::map<std::string, std::string> region_of;
  const auto regions = declaration.getArray("regions");
  for (std::size_t i = 0; regions && i < regions->size(); ++i) {
    const auto region = regions->getObject(i);
    const auto domains = region->getArray("failure_domains");
    for (std::size_t j = 0; domains && j < domains->size(); ++j)
      region_of[domains->getElement<std::string>(j)] =
          region->getValue<std::string>("name");
  }
  return region_of;
}

std::vector<worker_identity> ReadAll(const Object& declaration) {
  const auto region_of = ReadRegions(declaration);
  std::vector<worker_identity> all;
  const auto services = declaration.getArray("services");
  for (std::size_t i = 0; services && i < services->size(); ++i) {
    const auto service = services->getObject(i);
    const auto targets = service->getArray("targets");
    for (std::size_t j = 0; targets && j < targets->size(); ++j) {
      const auto target = targets->getObject(j);
      const auto domain = target->getValue<std::string>("failure_domain");
      all.push_back({.name = target->getValue<std::string>("name"),
                     .service = service->getValue<std::string>("name"),
                     .region = region_of.at(domain),
                     .failure_domain = domain,
                     .address = target->getValue<std::string>("address"),
                     .slots = target->getValue<std::uint32_t>("slots")});
    }
  }
  return all;
}

}  // namespace

result<std::vector<worker_identity>> ReadTargets(const std::string& path,
                                                 const target_choice& choice) {
  std::ifstream file(path);
  if (!file)
    return MakeError(result_code::kFileUnreadable, path);
  try {
    Poco::JSON::Parser parser;
    auto all = ReadAll(*parser.parse(file).extract<Object::Ptr>());
    std::erase_if(all, [&](const auto& target) {
      return (!choice.region.empty() && target.region != choice.region) ||
             (!choice.service.empty() && target.service != choice.service);
    });
    if (all.empty())
      return MakeError(result_code::kServiceWithoutTargets, path);
    return all;
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kSchemaViolation, e.displayText());
  } catch (const std::out_of_range&) {
    return MakeError(result_code::kUnknownFailureDomain, path);
  }
}

}  // namespace samphire
