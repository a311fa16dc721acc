#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// `make demo`: runs a small fleet on loopback (8 VMs in two data centres, four
/// services with two upstreams each) under load. Meanwhile one node is stopped
/// gracefully and started again, and a changed configuration is published.
///
/// Prints the latencies and the numbers of requests by outcome. Exit code: 0 if
/// requests were sent and none violated a guarantee (see `LedgerCheck` in
/// bench/load.h), else 1.

namespace {

using yuccamast::bench::LoadPlan;
using yuccamast::bench::Outcome;
using yuccamast::bench::RequestRecord;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::IntByPath;
using yuccamast::testing::LocalFleet;

constexpr double kDurationSeconds = 8;
constexpr double kRequestsPerSecond = 400;

const std::string kRules = R"({"rules": {
  "ledger-read": {"service": "ledger", "method": "GET", "path": "/ledger/**",
                  "idempotent": true},
  "charge": {"service": "ledger", "method": "POST", "path": "/ledger/charges"},
  "book": {"service": "bookings", "method": "POST", "path": "/bookings"},
  "dispatch": {"service": "dispatch", "method": "POST", "path": "/dispatch"},
  "round": {"service": "rounds", "method": "GET", "path": "/rounds/*",
            "idempotent": true}
}})";

FleetSpec DemoFleetSpec() {
  FleetSpec spec;
  const std::array<std::string, 4> services = {"ledger", "bookings", "dispatch",
                                               "rounds"};
  for (int i = 0; i < 8; ++i) {
    const std::string& service = services.at(static_cast<std::size_t>(i % 4));
    spec.vms.push_back({"vm-" + std::to_string(i + 1),
                        service + "-" + std::to_string(i / 4 + 1), service,
                        i < 4 ? "mn-1" : "mn-2", "mn-central"});
  }
  spec.config_files.push_back({"20-rules.json", kRules});
  return spec;
}

LoadPlan MakeLoadPlan(const LocalFleet& fleet) {
  LoadPlan plan;
  plan.entries = fleet.EntryPorts();
  // Callers don't use the entry of the node that is restarted.
  plan.entries.erase(plan.entries.begin());
  plan.rate = kRequestsPerSecond;
  plan.seconds = kDurationSeconds;
  plan.mix = {{"round", "GET", "/rounds/7", 5, true, 0},
              {"ledger", "GET", "/ledger/accounts/3", 2, true, 0},
              {"book", "POST", "/bookings", 2, false, 200},
              {"charge", "POST", "/ledger/charges", 1, false, 100},
              {"dispatch", "POST", "/dispatch", 1, false, 100}};
  return plan;
}

/// Stops the node of vm-1 gracefully after 2 s of load and starts it again.
void RestartNode(LocalFleet& fleet) {
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.vm(0).node->Signal(SIGTERM);
  const auto code = fleet.vm(0).node->Wait(std::chrono::seconds(15));
  std::cout << "node vm-1: graceful stop, exit code " << code.value_or(-1)
            << std::endl;
  fleet.StartNode(0);
}

/// Publishes revision 2 and prints how long it takes until all nodes use it.
void PublishConfigChange(LocalFleet& fleet) {
  const auto started_at = std::chrono::steady_clock::now();
  fleet.Publish(2, {{"90-tonight.json",
                     R"({"rules": {"round": {"deadline_ms": 1500}}})"}});
  const bool in_force_everywhere = LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (IntByPath(fleet.ReadDump(i), "config.revision") != 2) {
            return false;
          }
        }
        return true;
      },
      std::chrono::seconds(10));
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - started_at);
  std::cout << "configuration revision 2: "
            << (in_force_everywhere ? "in force everywhere after "
                                    : "not in force everywhere after ")
            << elapsed.count() << " ms" << std::endl;
}

/// Returns the number of requests that ended with this outcome.
std::size_t CountOutcome(const std::vector<RequestRecord>& records,
                         Outcome outcome) {
  return static_cast<std::size_t>(std::ranges::count_if(
      records, [&](const auto& record) { return record.outcome == outcome; }));
}

}  // namespace

int main() {
  LocalFleet fleet(DemoFleetSpec());
  if (!fleet.WaitUntilReady()) {
    std::cerr << "demo: the nodes did not become ready within 15 s\n";
    return 1;
  }
  std::cout << "8 nodes in 2 data centres serve ledger, bookings, dispatch and "
               "rounds"
            << std::endl;
  const LoadPlan plan = MakeLoadPlan(fleet);
  std::vector<RequestRecord> records;
  std::thread load([&] { records = yuccamast::bench::RunLoad(plan); });
  RestartNode(fleet);
  PublishConfigChange(fleet);
  load.join();
  const auto ledger_check =
      yuccamast::bench::CheckAgainstLedgers(plan, records, fleet.ReadLedgers());
  std::vector<double> latencies;
  std::ranges::transform(records, std::back_inserter(latencies),
                         &RequestRecord::latency_ms);
  std::cout << "latency from the intended time: p50 "
            << yuccamast::bench::Quantile(latencies, 0.5) << " ms, p99 "
            << yuccamast::bench::Quantile(latencies, 0.99) << " ms\n";
  const std::size_t wrong = ledger_check.wrong + ledger_check.false_not_run +
                            ledger_check.missing_runs;
  std::cout << "demo requests=" << records.size() << " answered="
            << CountOutcome(records, Outcome::kAnswered) +
                   CountOutcome(records, Outcome::kServerError)
            << " refused_not_run=" << CountOutcome(records, Outcome::kNotRun)
            << " unknown="
            << CountOutcome(records, Outcome::kUnknown) +
                   CountOutcome(records, Outcome::kCut)
            << " wrong=" << wrong << " double_runs=" << ledger_check.double_runs
            << std::endl;
  return wrong + ledger_check.double_runs == 0 && !records.empty() ? 0 : 1;
}
