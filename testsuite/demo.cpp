#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// `make demo`: a small Khuree on loopback, with one node restarted and one
/// change of configuration published while it serves.

namespace {

using yuccamast::bench::LoadPlan;
using yuccamast::bench::Outcome;
using yuccamast::bench::RequestRecord;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::IntAt;
using yuccamast::testing::LocalFleet;

constexpr double kSeconds = 8;
constexpr double kRate = 400;

const std::string kRules = R"({"rules": {
  "ledger-read": {"service": "ledger", "method": "GET", "path": "/ledger/**",
                  "idempotent": true},
  "charge": {"service": "ledger", "method": "POST", "path": "/ledger/charges"},
  "book": {"service": "bookings", "method": "POST", "path": "/bookings"},
  "dispatch": {"service": "dispatch", "method": "POST", "path": "/dispatch"},
  "round": {"service": "rounds", "method": "GET", "path": "/rounds/*",
            "idempotent": true}
}})";

FleetSpec SmallKhuree() {
  FleetSpec spec;
  const std::array<std::string, 4> services = {"ledger", "bookings", "dispatch",
                                               "rounds"};
  for (int i = 0; i < 8; ++i) {
    const std::string& service = services.at(static_cast<std::size_t>(i % 4));
    spec.vms.push_back({"vm-" + std::to_string(i + 1),
                        service + "-" + std::to_string(i / 4 + 1), service,
                        i < 4 ? "mn-1" : "mn-2", "mn-central"});
  }
  spec.files.push_back({"20-rules.json", kRules});
  return spec;
}

LoadPlan Plan(const LocalFleet& fleet) {
  LoadPlan plan;
  plan.entries = fleet.EntryPorts();
  plan.entries.erase(plan.entries.begin());  // The node that is restarted.
  plan.rate = kRate;
  plan.seconds = kSeconds;
  plan.mix = {{"round", "GET", "/rounds/7", 5, true, 0},
              {"ledger", "GET", "/ledger/accounts/3", 2, true, 0},
              {"book", "POST", "/bookings", 2, false, 200},
              {"charge", "POST", "/ledger/charges", 1, false, 100},
              {"dispatch", "POST", "/dispatch", 1, false, 100}};
  return plan;
}

void RestartNode(LocalFleet& fleet) {
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.vm(0).node->Signal(SIGTERM);
  const auto code = fleet.vm(0).node->Wait(std::chrono::seconds(15));
  std::cout << "node vm-1: planned stop, exit code " << code.value_or(-1)
            << std::endl;
  fleet.StartNode(0);
}

void PublishChange(LocalFleet& fleet) {
  const auto begun = std::chrono::steady_clock::now();
  fleet.Publish(2, {{"90-tonight.json",
                     R"({"rules": {"round": {"deadline_ms": 1500}}})"}});
  const bool everywhere = LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (IntAt(fleet.Dump(i), "config.revision") != 2) {
            return false;
          }
        }
        return true;
      },
      std::chrono::seconds(10));
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - begun);
  std::cout << "configuration revision 2: "
            << (everywhere ? "in force everywhere after " : "not everywhere ")
            << took.count() << " ms" << std::endl;
}

std::size_t Count(const std::vector<RequestRecord>& records, Outcome outcome) {
  return static_cast<std::size_t>(std::ranges::count_if(
      records, [&](const auto& record) { return record.outcome == outcome; }));
}

}  // namespace

int main() {
  LocalFleet fleet(SmallKhuree());
  if (!fleet.WaitReady()) {
    std::cerr << "the nodes did not become ready\n";
    return 1;
  }
  std::cout << "8 nodes in 2 data centres serve ledger, bookings, dispatch and "
               "rounds"
            << std::endl;
  const LoadPlan plan = Plan(fleet);
  std::vector<RequestRecord> records;
  std::thread load([&] { records = yuccamast::bench::RunLoad(plan); });
  RestartNode(fleet);
  PublishChange(fleet);
  load.join();
  const auto verdict = yuccamast::bench::Judge(plan, records, fleet.Ledger());
  std::vector<double> latencies;
  std::ranges::transform(records, std::back_inserter(latencies),
                         &RequestRecord::latency_ms);
  std::cout << "latency from the intended time: p50 "
            << yuccamast::bench::Percentile(latencies, 0.5) << " ms, p99 "
            << yuccamast::bench::Percentile(latencies, 0.99) << " ms\n";
  const std::size_t wrong =
      verdict.wrong + verdict.false_not_run + verdict.missing_runs;
  std::cout << "demo requests=" << records.size() << " answered="
            << Count(records, Outcome::kAnswered) +
                   Count(records, Outcome::kServerError)
            << " refused_not_run=" << Count(records, Outcome::kNotRun)
            << " unknown="
            << Count(records, Outcome::kUnknown) + Count(records, Outcome::kCut)
            << " wrong=" << wrong << " double_runs=" << verdict.double_runs
            << std::endl;
  return wrong + verdict.double_runs == 0 && !records.empty() ? 0 : 1;
}
