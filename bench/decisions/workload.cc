#include "decisions/workload.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace samphire {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

constexpr duration kMeanService = milliseconds(50);
constexpr duration kMeanBulk = milliseconds(2000);
constexpr double kLongPart = 0.05;
constexpr double kLongFactor = 4;
constexpr duration kBurstEvery = milliseconds(5000);
constexpr duration kBurstLength = milliseconds(500);
constexpr int kHurry = 5;

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<>(0, 1)(random);
}

duration Scaled(duration length, double factor) {
  return std::chrono::duration_cast<duration>(length * factor);
}

enum class_index { kReading, kHigh, kLow, kHurried, kArchive };

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
  const milliseconds whole(1000);
  const auto interactive = request_kind::kInteractive;
  made.classes = {
      MakeClass("reading", priority::kNormal, interactive, whole),
      MakeClass("alarm", priority::kHigh, interactive, whole),
      MakeClass("overlay", priority::kLow, interactive, whole),
      MakeClass("hurried", priority::kNormal, interactive, whole),
      MakeClass("archive", priority::kNormal, request_kind::kBulk,
                milliseconds(30'000)),
  };
  for (std::size_t i = 0; i < kTargets; ++i) {
    target each;
    each.name = fmt::format("t{}", i);
    each.failure_domain = fmt::format("d{}", i % 2);
    each.slots = kSlotsOfTarget;
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

duration workload::Gap(double load,
                       duration mean,
                       std::mt19937_64& random) const {
  const double rate = load * kSlots / seconds(mean).count();
  return std::chrono::duration_cast<duration>(
      seconds(std::exponential_distribution<>(rate)(random)));
}

void workload::ScheduleInteractive() {
  const auto into = (events_.now() - start_) % kBurstEvery;
  const double factor = into < kBurstLength ? input_.burst_factor : 1;
  const auto gap = Gap(input_.load * factor, kMeanService, interactive_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    const auto& rules = PickClass();
    Emit(rules, false, InteractiveService(interactive_random_));
    ScheduleInteractive();
  });
}

void workload::ScheduleShifted() {
  const auto gap = Gap(input_.shifted_load, kMeanService, shift_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    Emit(service_.classes[kReading], true, InteractiveService(shift_random_));
    ScheduleShifted();
  });
}

void workload::ScheduleBulk() {
  const auto gap = Gap(input_.bulk_load, kMeanBulk, bulk_random_);
  if (events_.now() + gap >= end_)
    return;
  events_.After(gap, [this] {
    Emit(service_.classes[kArchive], false,
         Scaled(kMeanBulk, 0.5 + Uniform(bulk_random_)));
    ScheduleBulk();
  });
}

const request_class& workload::PickClass() {
  const double draw = Uniform(interactive_random_);
  if (draw < input_.high_part)
    return service_.classes[kHigh];
  if (draw < input_.high_part + input_.low_part)
    return service_.classes[kLow];
  if (draw < input_.high_part + input_.low_part + input_.hurried_part)
    return service_.classes[kHurried];
  return service_.classes[kReading];
}

duration workload::InteractiveService(std::mt19937_64& random) const {
  const duration usual =
      Scaled(kMeanService, 1 / (1 + kLongPart * (kLongFactor - 1)));
  const double spread = input_.exponential
                            ? std::exponential_distribution<>(1)(random)
                            : 0.5 + Uniform(random);
  const bool is_long = Uniform(random) < kLongPart;
  return Scaled(usual, spread * (is_long ? kLongFactor : 1));
}

void workload::Emit(const request_class& rules,
                    bool shifted,
                    duration service) {
  auto& random = shifted                             ? shift_random_
                 : rules.kind == request_kind::kBulk ? bulk_random_
                                                     : interactive_random_;
  auto made = std::make_shared<simulated_request>();
  made->id = next_id_++;
  made->rules = &rules;
  made->shifted = shifted;
  made->service = service;
  made->arrived = events_.now();
  duration whole = input_.deadline;
  if (rules.kind == request_kind::kBulk)
    whole = rules.deadline;
  else if (&rules == &service_.classes[kHurried])
    whole = whole / kHurry;
  made->deadline = made->arrived + whole;
  const double draw = Uniform(random);
  if (draw >= input_.busiest_share) {
    const double rest = (draw - input_.busiest_share) /
                        (1 - input_.busiest_share) * (kEntries - 1);
    made->entry =
        1 + std::min<std::size_t>(static_cast<std::size_t>(rest), kEntries - 2);
  }
  arrive_(std::move(made));
}

}  // namespace samphire
