#include <algorithm>
#include <iostream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// `make bench-latency`: the latency that two nodes add to a call. The same
/// load goes to the upstreams directly and through the entries, in turn.

namespace {

using yuccamast::bench::LoadPlan;
using yuccamast::bench::Percentile;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::LocalFleet;

constexpr int kRounds = 5;
constexpr double kRatePerEntry = 200;
constexpr double kSeconds = 4;
constexpr double kBoundMs = 0.72;

struct Figures {
  double p50 = 0;
  double p99 = 0;
  std::size_t failed = 0;
};

Figures Measure(const std::vector<std::uint16_t>& ports,
                std::uint64_t seed,
                std::size_t idle) {
  LoadPlan plan;
  plan.entries = ports;
  plan.rate = kRatePerEntry * static_cast<double>(ports.size());
  plan.seconds = kSeconds;
  plan.seed = seed;
  plan.idle_connections = idle;
  plan.mix = {{"read", "GET", "/read/1?sleep_ms=2", 1, true, 0}};
  const auto records = yuccamast::bench::RunLoad(plan);
  std::vector<double> latencies;
  Figures figures;
  std::ranges::for_each(records, [&](const auto& record) {
    latencies.push_back(record.latency_ms);
    figures.failed +=
        record.outcome == yuccamast::bench::Outcome::kAnswered ? 0 : 1;
  });
  figures.p50 = Percentile(latencies, 0.5);
  figures.p99 = Percentile(latencies, 0.99);
  return figures;
}

double Median(std::vector<double> values) {
  return Percentile(values, 0.5);
}

void Compare(LocalFleet& fleet, std::size_t idle) {
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint64_t seed = static_cast<std::uint64_t>(round) + 1;
    const Figures direct = Measure(fleet.UpstreamPorts(), seed, 0);
    const Figures through = Measure(fleet.EntryPorts(), seed, idle);
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
  spec.files.push_back({"20-rules.json",
                        R"({"rules": {"read": {"service": "shop",
                          "path": "/read/**", "idempotent": true}}})"});
  LocalFleet fleet(std::move(spec));
  if (!fleet.WaitReady()) {
    std::cerr << "the nodes did not become ready\n";
    return 1;
  }
  Compare(fleet, 0);
  Compare(fleet, 4000);
  return 0;
}
