#include "allowance/loan_metrics.h"

#include <fmt/format.h>

namespace samphire {

void PublishLoans(metrics& registry,
                  std::string_view service,
                  const loan_counts& counts) {
  const auto labels = fmt::format("service=\"{}\"", service);
  const auto set = [&](std::string_view name, std::uint64_t count) {
    registry.Set(name, labels, static_cast<double>(count));
  };
  set("loan_asks", counts.requests_sent);
  set("loan_asks_unanswered", counts.requests_unanswered);
  set("loan_asks_refused", counts.refused);
  set("loans_borrowed", counts.borrowed);
  set("loans_sent_back", counts.returned_unused);
  set("loans_lent", counts.lent);
  set("loans_renewed", counts.renewed);
  set("loans_reclaimed", counts.reclaimed);
  set("loan_messages", counts.messages);
}

}  // namespace samphire
