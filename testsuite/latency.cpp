#include <algorithm>
#include <iostream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// `make bench-latency`: measures the latency that two nodes, entry and exit,
/// add to a call.
///
/// In each round the same load (same seed) is sent to the upstreams directly
/// and then through the entries. The difference of the percentiles is the added
/// latency; its median over the rounds is printed beside the bound. The
/// measurement is done without and with 4000 idle connections of callers.

namespace {

using yuccamast::bench::LoadPlan;
using yuccamast::bench::Quantile;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::LocalFleet;

constexpr int kRounds = 5;
constexpr double kRequestsPerSecondPerPort = 200;
constexpr double kDurationSeconds = 4;
/// Largest latency that two nodes may add; printed, not checked.
constexpr double kBoundMs = 0.72;

/// Latencies of one run in milliseconds.
struct LatencySummary {
  double p50 = 0;
  double p99 = 0;
  std::size_t failed = 0;  ///< Requests not answered with status below 500.
};

/// Runs the load against these ports, with `idle` further connections.
LatencySummary MeasureLatency(const std::vector<std::uint16_t>& ports,
                              std::uint64_t seed,
                              std::size_t idle) {
  LoadPlan plan;
  plan.entries = ports;
  plan.rate = kRequestsPerSecondPerPort * static_cast<double>(ports.size());
  plan.seconds = kDurationSeconds;
  plan.seed = seed;
  plan.idle_connections = idle;
  plan.mix = {{"read", "GET", "/read/1?sleep_ms=2", 1, true, 0}};
  const auto records = yuccamast::bench::RunLoad(plan);
  std::vector<double> latencies;
  LatencySummary summary;
  std::ranges::for_each(records, [&](const auto& record) {
    latencies.push_back(record.latency_ms);
    summary.failed +=
        record.outcome == yuccamast::bench::Outcome::kAnswered ? 0 : 1;
  });
  summary.p50 = Quantile(latencies, 0.5);
  summary.p99 = Quantile(latencies, 0.99);
  return summary;
}

double Median(std::vector<double> values) {
  return Quantile(values, 0.5);
}

/// Compares calls through the nodes with direct ones and prints each round.
void MeasureAddedLatency(LocalFleet& fleet, std::size_t idle) {
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint64_t seed = static_cast<std::uint64_t>(round) + 1;
    const LatencySummary direct =
        MeasureLatency(fleet.UpstreamPorts(), seed, 0);
    const LatencySummary through =
        MeasureLatency(fleet.EntryPorts(), seed, idle);
    added_p50.push_back(through.p50 - direct.p50);
    added_p99.push_back(through.p99 - direct.p99);
    std::cout << "round=" << round << " idle=" << idle
              << " direct_p50_ms=" << direct.p50
              << " direct_p99_ms=" << direct.p99
              << " through_p50_ms=" << through.p50
              << " through_p99_ms=" << through.p99
              << " failed=" << through.failed << std::endl;
  }
  std::cout << "latency idle=" << idle << " added_p50_ms=" << Median(added_p50)
            << " added_p99_ms=" << Median(added_p99) << " bound_ms=" << kBoundMs
            << std::endl;
}

}  // namespace

int main() {
  FleetSpec spec;
  for (int i = 1; i <= 4; ++i) {
    const std::string number = std::to_string(i);
    spec.vms.push_back({"vm-" + number, "shop-" + number, "shop"});
  }
  spec.config_files.push_back({"20-rules.json",
                               R"({"rules": {"read": {"service": "shop",
                          "path": "/read/**", "idempotent": true}}})"});
  LocalFleet fleet(std::move(spec));
  if (!fleet.WaitUntilReady()) {
    std::cerr << "latency: the nodes did not become ready within 15 s\n";
    return 1;
  }
  MeasureAddedLatency(fleet, 0);
  MeasureAddedLatency(fleet, 4000);
  return 0;
}
