#include "metrics/metrics.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace yuccamast {

namespace {

// 7 decades of 20 buckets each.
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100.0;
constexpr unsigned kBucketCount = 140;

struct CounterRow {
  std::string_view name;
  std::string_view help;
};

// Indexed by Counter.
constexpr std::array<CounterRow, kCounterCount> kCounterRows = {{
    {"calls_received", "Requests read whole from callers."},
    {"calls_answered", "Calls answered by an upstream."},
    {"calls_moved", "Offers moved to another upstream on proof of no run."},
    {"calls_retried", "Idempotent calls offered again after an unknown run."},
    {"retries_denied", "Retries not made for lack of budget."},
    {"callers_gone", "Callers that closed before their reply."},
    {"callers_closed_for_memory",
     "Callers closed or refused while memory was short, for what they held."},
    {"calls_cancelled", "Calls cancelled since their caller closed."},
    {"requests_pipelined", "Requests read behind an unanswered one."},
    {"caller_connections", "Connections accepted from callers."},
    {"caller_connections_refused", "Connections refused at the limit."},
    {"offers_received", "Offers read whole at the exit."},
    {"offers_admitted", "Offers admitted at the exit."},
    {"offers_repeated", "Offers dropped as repeated or too old."},
    {"runs_started", "Runs started at the upstream."},
    {"runs_finished", "Runs that gave a whole reply."},
    {"upstream_connects", "Connections opened to the upstream."},
    {"upstream_reuses", "Runs on a kept connection to the upstream."},
    {"peer_connects", "Inner connections opened to peers."},
    {"peer_losses", "Inner connections lost."},
    {"probes_sent", "Questions to the upstream's health page."},
    {"load_asked", "Datagrams that asked an exit for its load."},
    {"pauses", "Pauses of this process that it noticed."},
    {"config_reads", "Calls on the configuration service."},
    {"vm_list_reads", "Calls on the VM list."},
    {"source_items_refused", "Items of the source that cannot be understood."},
    {"source_words_unknown",
     "Unknown words in items of the source, read conservatively."},
    {"source_values_limited",
     "Values of the configuration beyond the range that nodes can use, read as "
     "the nearest one in it."},
    {"source_restores",
     "Times that the service of the VM list was restored from a copy."},
    {"data_centres_evacuated", "Data centres that the operator emptied."},
    {"data_centres_returned", "Emptied data centres that were taken back."},
    {"control_bytes_sent", "Bytes of control messages sent to peers."},
    {"control_bytes_received", "Bytes of control messages from peers."},
    {"control_messages_sent", "Control messages sent to peers."},
    {"control_messages_received", "Control messages from peers."},
    {"control_messages_refused", "Control messages dropped as invalid."},
    {"documents_fetched", "Configurations and VM lists received from peers."},
    {"document_fetch_failures", "Fetches of these that failed."},
    {"document_bytes_sent", "Bytes of these sent to peers."},
    {"cold_periods", "Times at which the upstream was found to be cold."},
    {"upstream_fields_refused",
     "Fields of the upstream's health replies that cannot be understood."},
}};

// Indexed by Latency.
constexpr std::array<std::string_view, kLatencyCount> kLatencyNames = {
    "call", "added", "queue", "upstream"};

// Common prefix of all metric names.
constexpr std::string_view kMetricPrefix = "yuccamast_";

}  // namespace

std::string_view NameOf(Counter counter) {
  return kCounterRows.at(static_cast<std::size_t>(counter)).name;
}

std::string_view NameOf(Latency latency) {
  return kLatencyNames.at(static_cast<std::size_t>(latency));
}

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::make_tuple(Axis(kBucketCount, kMinSeconds, kMaxSeconds)),
                  Cells()) {}

void LatencyHistogram::Record(std::chrono::nanoseconds duration) {
  m_histogram(std::chrono::duration<double>(duration).count());
  m_sum_ns.fetch_add(duration.count(), std::memory_order_relaxed);
}

double LatencyHistogram::Quantile(double q) const {
  const auto target_rank = static_cast<std::uint64_t>(
      std::llround(q * static_cast<double>(count())));
  double edge = 0;
  bool found = false;
  ForEachBucket([&](double upper, std::uint64_t cumulative) {
    if (!found) {
      edge = upper;
      found = cumulative >= std::max<std::uint64_t>(target_rank, 1);
    }
  });
  return edge;
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t total = 0;
  ForEachBucket([&](double, std::uint64_t cumulative) { total = cumulative; });
  return total;
}

double LatencyHistogram::sum_seconds() const {
  return static_cast<double>(m_sum_ns.load(std::memory_order_relaxed)) * 1e-9;
}

JsonValue Metrics::ToJson() const {
  JsonValue::Object counters;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const auto counter = static_cast<Counter>(i);
    counters.push_back({std::string(NameOf(counter)), Get(counter)});
  }
  JsonValue::Object refusals;
  std::ranges::for_each(kRefusalTable, [&](const RefusalInfo& info) {
    refusals.push_back({std::string(info.name), GetRefusals(info.reason)});
  });
  JsonValue::Object latencies;
  for (std::size_t i = 0; i < kLatencyCount; ++i) {
    const auto kind = static_cast<Latency>(i);
    const LatencyHistogram& histogram = Get(kind);
    latencies.push_back(
        {std::string(NameOf(kind)),
         JsonValue::Object{{"count", histogram.count()},
                           {"sum_s", histogram.sum_seconds()},
                           {"p50_s", histogram.Quantile(0.5)},
                           {"p99_s", histogram.Quantile(0.99)},
                           {"p999_s", histogram.Quantile(0.999)}}});
  }
  return JsonValue::Object{{"counters", std::move(counters)},
                           {"refusals", std::move(refusals)},
                           {"latencies", std::move(latencies)}};
}

std::string Metrics::ToText() const {
  std::ostringstream out;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const CounterRow& row = kCounterRows.at(i);
    out << "# HELP " << kMetricPrefix << row.name << "_total " << row.help
        << "\n"
        << "# TYPE " << kMetricPrefix << row.name << "_total counter\n"
        << kMetricPrefix << row.name << "_total "
        << Get(static_cast<Counter>(i)) << "\n";
  }
  out << "# HELP " << kMetricPrefix
      << "refusals_total Calls refused, by reason.\n"
      << "# TYPE " << kMetricPrefix << "refusals_total counter\n";
  std::ranges::for_each(kRefusalTable, [&](const RefusalInfo& info) {
    out << kMetricPrefix << "refusals_total{reason=\"" << info.name
        << "\",outcome=\"" << NameOf(info.run_outcome) << "\"} "
        << GetRefusals(info.reason) << "\n";
  });
  for (std::size_t i = 0; i < kLatencyCount; ++i) {
    const auto kind = static_cast<Latency>(i);
    const LatencyHistogram& histogram = Get(kind);
    const std::string name =
        std::string(kMetricPrefix) + std::string(NameOf(kind)) + "_seconds";
    out << "# HELP " << name << " Duration, see docs/REFERENCE.md.\n"
        << "# TYPE " << name << " histogram\n";
    std::uint64_t total = 0;
    histogram.ForEachBucket([&](double upper, std::uint64_t cumulative) {
      out << name << "_bucket{le=\"" << upper << "\"} " << cumulative << "\n";
      total = cumulative;
    });
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n"
        << name << "_sum " << histogram.sum_seconds() << "\n"
        << name << "_count " << total << "\n";
  }
  return out.str();
}

}  // namespace yuccamast
