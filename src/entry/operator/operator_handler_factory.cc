#include "entry/operator/operator_handler_factory.h"

#include <utility>

#include "entry/operator/operator_handler.h"

namespace samphire {

operator_handler_factory::operator_handler_factory(
    operator_api& api,
    std::string token,
    const operator_limits& limits,
    samphire::metrics& counters)
    : api_(api),
      token_(std::move(token)),
      limits_(limits),
      metrics_(counters) {}

Poco::Net::HTTPRequestHandler* operator_handler_factory::createRequestHandler(
    const Poco::Net::HTTPServerRequest&) {
  return new operator_handler(api_, token_, limits_, metrics_);
}

}  // namespace samphire
