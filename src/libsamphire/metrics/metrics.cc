#include "metrics/metrics.h"

#include <fmt/format.h>

#include <set>

namespace samphire {

namespace {

// Precedes the name of every exported metric.
constexpr std::string_view kPrefix = "samphire_";

std::string ReasonLabel(result_code reason) {
  return fmt::format("reason=\"{}\"", NameOf(reason));
}

// Returns one sample line in the Prometheus text format. `extra` is a further
// label.
std::string FormatSample(std::string_view name,
                         std::string_view labels,
                         auto value,
                         std::string_view extra = {}) {
  std::string label_set;
  if (!labels.empty() || !extra.empty()) {
    label_set = fmt::format("{{{}{}{}}}", labels,
                            labels.empty() || extra.empty() ? "" : ",", extra);
  }
  return fmt::format("{}{}{} {}\n", kPrefix, name, label_set, value);
}

}  // namespace

void metrics::Count(std::string_view name,
                    std::string_view labels,
                    std::int64_t increment) {
  shards_.With(name, [&](shard_state& state) {
    state.counters[{std::string(name), std::string(labels)}] += increment;
  });
}

void metrics::Set(std::string_view name,
                  std::string_view labels,
                  double value) {
  shards_.With(name, [&](shard_state& state) {
    state.gauges[{std::string(name), std::string(labels)}] = value;
  });
}

void metrics::Observe(std::string_view name,
                      std::string_view labels,
                      duration latency) {
  shards_.With(name, [&](shard_state& state) {
    state.latencies[{std::string(name), std::string(labels)}].Add(latency);
  });
}

void metrics::CountRefusal(result_code reason) {
  Count("refusals_total", ReasonLabel(reason));
}

void metrics::CountRetry(result_code reason) {
  Count("retries_total", ReasonLabel(reason));
}

std::int64_t metrics::counter(std::string_view name, std::string_view labels) {
  return shards_.With(name, [&](shard_state& state) -> std::int64_t {
    const auto found =
        state.counters.find({std::string(name), std::string(labels)});
    return found == state.counters.end() ? 0 : found->second;
  });
}

std::string metrics::Render() {
  std::string text;
  shards_.ForEach([&](shard_state& state) {
    std::set<std::string> typed;
    const auto type_line = [&](const std::string& name, std::string_view type) {
      if (typed.insert(name).second)
        text += fmt::format("# TYPE {}{} {}\n", kPrefix, name, type);
    };
    for (const auto& [key, value] : state.counters) {
      type_line(key.first, "counter");
      text += FormatSample(key.first, key.second, value);
    }
    for (const auto& [key, value] : state.gauges) {
      type_line(key.first, "gauge");
      text += FormatSample(key.first, key.second, value);
    }
    for (const auto& [key, summary] : state.latencies) {
      type_line(key.first, "summary");
      for (const double q : {0.5, 0.9, 0.99, 0.999}) {
        text += FormatSample(key.first, key.second, summary.quantile_seconds(q),
                             fmt::format("quantile=\"{}\"", q));
      }
      text += FormatSample(key.first + "_count", key.second, summary.count());
      text +=
          FormatSample(key.first + "_sum", key.second, summary.sum_seconds());
    }
  });
  return text;
}

}  // namespace samphire
