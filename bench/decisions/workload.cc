#include "decisions/workload.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace samphire {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// Mean slot times of interactive and bulk requests.
constexpr duration kMeanInteractiveService = milliseconds(50);
constexpr duration kMeanBulkService = milliseconds(2000);
// Share of the interactive requests that take kLongFactor times as long as the
// others.
constexpr double kLongShare = 0.05;
constexpr double kLongFactor = 4;
// A burst of kBurstLength begins every kBurstPeriod.
constexpr duration kBurstPeriod = milliseconds(5000);
constexpr duration kBurstLength = milliseconds(500);
// Divides the usual deadline for requests with a short one.
constexpr int kShortDeadlineDivisor = 5;

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<>(0, 1)(random);
}

duration Scaled(duration length, double factor) {
  return std::chrono::duration_cast<duration>(length * factor);
}

// Positions of the classes in MakeService.
enum class_index { kReading, kHigh, kLow, kShortDeadline, kArchive };

request_class MakeClass(const char* name,
                        priority rank,
                        request_kind kind,
                        milliseconds deadline) {
  request_class made;
  made.name = name;
  made.priority = rank;
  made.kind = kind;
  made.deadline = deadline;
  made.max_deadline = deadline;
  made.queue_limit = 1000;
  return made;
}

}  // namespace

service workload::MakeService() {
  service made;
  made.name = "probe";
  const milliseconds time_to_deadline(1000);
  const auto interactive = request_kind::kInteractive;
  made.classes = {
      MakeClass("reading", priority::kNormal, interactive, time_to_deadline),
      MakeClass("alarm", priority::kHigh, interactive, time_to_deadline),
      MakeClass("overlay", priority::kLow, interactive, time_to_deadline),
      MakeClass("hurried", priority::kNormal, interactive, time_to_deadline),
      MakeClass("archive", priority::kNormal, request_kind::kBulk,
                milliseconds(30'000)),
  };
  for (std::size_t i = 0; i < kTargets; ++i) {
    target each;
    each.name = fmt::format("t{}", i);
    each.failure_domain = fmt::format("d{}", i % 2);
    each.slots = kSlotsPerTarget;
    made.targets.push_back(each);
  }
  return made;
}

workload::workload(const scenario& input,
                   event_queue& events,
                   std::function<void(request_ptr)> arrive)
    : input_(input),
      events_(events),
      arrive_(std::move(arrive)),
      service_(MakeService()),
      interactive_random_(input.seed),
      bulk_random_(input.seed + 1),
      shift_random_(input.seed + 2) {}

void workload::Start() {
  start_ = events_.now();
  end_ = start_ + input_.length;
  ScheduleInteractive();
  if (input_.bulk_load > 0)
    ScheduleBulk();
  if (input_.shifted_load > 0)
    events_.After(input_.length / 10, [this] { ScheduleShifted(); });
}

duration workload::NextGap(double load,
                           duration mean,
                           std::mt19937_64& random) const {
  const double rate = load * kSlots / seconds(mean).count();
  return std::chrono::duration_cast<duration>(
      seconds(std::exponential_distribution<>(rate)(random)));
}

void workload::ScheduleInteractive() {
  const auto burst_phase = (events_.now() - start_) % kBurstPeriod;
  const double factor = burst_phase < kBurstLength ? input_.burst_factor : 1;
  const auto gap = NextGap(input_.load * factor, kMeanInteractiveService,
                           interactive_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    const auto& rules = PickClass();
    EmitRequest(rules, false, InteractiveSlotTime(interactive_random_));
    ScheduleInteractive();
  });
}

void workload::ScheduleShifted() {
  const auto gap =
      NextGap(input_.shifted_load, kMeanInteractiveService, shift_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    EmitRequest(service_.classes[kReading], true,
                InteractiveSlotTime(shift_random_));
    ScheduleShifted();
  });
}

void workload::ScheduleBulk() {
  const auto gap = NextGap(input_.bulk_load, kMeanBulkService, bulk_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    EmitRequest(service_.classes[kArchive], false,
                Scaled(kMeanBulkService, 0.5 + Uniform(bulk_random_)));
    ScheduleBulk();
  });
}

const request_class& workload::PickClass() {
  const double draw = Uniform(interactive_random_);
  if (draw < input_.high_priority_share)
    return service_.classes[kHigh];
  if (draw < input_.high_priority_share + input_.low_priority_share)
    return service_.classes[kLow];
  if (draw < input_.high_priority_share + input_.low_priority_share +
                 input_.short_deadline_share)
    return service_.classes[kShortDeadline];
  return service_.classes[kReading];
}

duration workload::InteractiveSlotTime(std::mt19937_64& random) const {
  const duration base_slot_time =
      Scaled(kMeanInteractiveService, 1 / (1 + kLongShare * (kLongFactor - 1)));
  const double spread = input_.exponential_service
                            ? std::exponential_distribution<>(1)(random)
                            : 0.5 + Uniform(random);
  const bool is_long = Uniform(random) < kLongShare;
  return Scaled(base_slot_time, spread * (is_long ? kLongFactor : 1));
}

void workload::EmitRequest(const request_class& rules,
                           bool shifted,
                           duration slot_time) {
  auto& random = shifted                             ? shift_random_
                 : rules.kind == request_kind::kBulk ? bulk_random_
                                                     : interactive_random_;
  auto made = std::make_shared<simulated_request>();
  made->id = next_id_++;
  made->rules = &rules;
  made->shifted = shifted;
  made->slot_time = slot_time;
  made->arrived = events_.now();
  duration time_to_deadline = input_.deadline;
  if (rules.kind == request_kind::kBulk)
    time_to_deadline = rules.deadline;
  else if (&rules == &service_.classes[kShortDeadline])
    time_to_deadline = time_to_deadline / kShortDeadlineDivisor;
  made->deadline = made->arrived + time_to_deadline;
  const double draw = Uniform(random);
  if (draw >= input_.busiest_share) {
    const double other_entry = (draw - input_.busiest_share) /
                               (1 - input_.busiest_share) * (kEntries - 1);
    made->entry = 1 + std::min<std::size_t>(
                          static_cast<std::size_t>(other_entry), kEntries - 2);
  }
  arrive_(std::move(made));
}

}  // namespace samphire
