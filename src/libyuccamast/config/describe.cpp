#include "config/describe.h"

#include <algorithm>

namespace yuccamast {

namespace {

JsonValue Describe(const Service& service) {
  return JsonValue::Object{
      {"policy", NameOf(service.policy)},
      {"queue_limit_ms", std::int64_t{service.queue_limit.count()}},
      {"queue_length", service.queue_length},
      {"retry_share", service.retry_share},
      {"health_path", service.health_path},
      {"max_connections", service.max_connections},
      {"cold_starts_per_s", service.cold_starts_per_s},
      {"cold_start_ms", std::int64_t{service.cold_start.count()}}};
}

JsonValue Describe(const Upstream& upstream) {
  return JsonValue::Object{{"service", upstream.service},
                           {"vm", upstream.vm},
                           {"slots", upstream.slots},
                           {"short_slots", upstream.short_slots}};
}

JsonValue Describe(const Rule& rule) {
  JsonValue::Object split;
  std::ranges::for_each(rule.split, [&](const SplitPart& part) {
    split.push_back({part.service, part.weight});
  });
  return JsonValue::Object{
      {"service", rule.service},
      {"method", rule.method},
      {"path", rule.path},
      {"host", rule.host},
      {"prefix", rule.prefix},
      {"split", std::move(split)},
      {"urgency", rule.urgency},
      {"max_upstreams", rule.max_upstreams},
      {"objective_ms", std::int64_t{rule.objective.count()}},
      {"idempotent", rule.idempotent},
      {"deadline_ms", std::int64_t{rule.deadline.count()}},
      {"weight", NameOf(rule.weight)},
      {"priority", rule.priority}};
}

template <typename Section>
JsonValue DescribeAll(const Section& section) {
  JsonValue::Object entries;
  for (const auto& [name, entry] : section) {
    entries.push_back({name, Describe(entry)});
  }
  return entries;
}

}  // namespace

JsonValue Describe(const Configuration& configuration) {
  return JsonValue::Object{{"digest", configuration.digest},
                           {"services", DescribeAll(configuration.services)},
                           {"upstreams", DescribeAll(configuration.upstreams)},
                           {"rules", DescribeAll(configuration.rules)}};
}

}  // namespace yuccamast
