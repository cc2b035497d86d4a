#include "support/small_service.h"

#include <fmt/format.h>

#include <stdexcept>

namespace samphire {

namespace {

request_class Class(const char* name, priority rank, milliseconds deadline) {
  request_class made;
  made.name = name;
  made.priority = rank;
  made.deadline = deadline;
  made.max_deadline = deadline;
  made.queue_limit = 100;
  return made;
}

}  // namespace

service SmallService(std::uint32_t targets, std::uint32_t slots) {
  service made;
  made.name = "small";
  const milliseconds second(1000);
  made.classes = {Class("reading", priority::kNormal, second),
                  Class("alarm", priority::kHigh, second),
                  Class("overlay", priority::kLow, second),
                  Class("claim", priority::kNormal, second),
                  Class("archive", priority::kNormal, 30 * second)};
  made.classes[3].repeatable = false;
  made.classes[4].kind = request_kind::kBulk;
  for (std::uint32_t i = 0; i < targets; ++i) {
    target each;
    each.name = fmt::format("t{}", i);
    each.address = fmt::format("127.0.0.{}:1", i + 1);
    each.failure_domain = fmt::format("d{}", i % 2);
    each.slots = slots;
    made.targets.push_back(each);
  }
  return made;
}

std::vector<owned_slots> AllSlots(const service& declared) {
  std::vector<owned_slots> all;
  for (const auto& each : declared.targets)
    all.push_back({each.name, each.slots});
  return all;
}

dispatcher_fixture::dispatcher_fixture(std::uint32_t targets,
                                       std::uint32_t slots_of_target,
                                       const limits& bounds,
                                       std::uint64_t seed)
    : declared(SmallService(targets, slots_of_target)),
      slots(declared, bounds, "home", seed) {
  slots.SetOwnedSlots(AllSlots(declared), now);
}

const request_class& dispatcher_fixture::Class(const std::string& name) const {
  for (const auto& each : declared.classes) {
    if (each.name == name)
      return each;
  }
  throw std::invalid_argument(name);
}

admission_request dispatcher_fixture::Request(const std::string& class_name,
                                              milliseconds time) {
  admission_request made;
  made.id = next_id_++;
  made.request_class = &Class(class_name);
  made.home_region = "home";
  made.arrived = now;
  made.deadline = now + time;
  return made;
}

admission_decision dispatcher_fixture::Submit(
    const admission_request& request) {
  return slots.Submit(request, now);
}

admission_decision dispatcher_fixture::Submit(const std::string& class_name,
                                              milliseconds time,
                                              const std::string& home) {
  auto request = Request(class_name, time);
  request.home_region = home;
  return Submit(request);
}

slot_grant dispatcher_fixture::Grant(const std::string& class_name,
                                     milliseconds time) {
  return std::get<slot_grant>(Submit(class_name, time));
}

std::vector<wakeup> dispatcher_fixture::Finish(const slot_grant& grant,
                                               milliseconds latency,
                                               attempt_outcome outcome) {
  return slots.Finish(grant, outcome, latency, now);
}

void dispatcher_fixture::Run(int count, milliseconds latency) {
  for (int i = 0; i < count; ++i) {
    const auto grant = Grant();
    now += latency;
    Finish(grant, latency);
  }
}

result_code RefusalOf(const admission_decision& decision) {
  const auto* refused = std::get_if<refusal>(&decision);
  return refused == nullptr ? result_code::kOk : refused->reason;
}

}  // namespace samphire
