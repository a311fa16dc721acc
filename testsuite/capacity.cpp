#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"
#include "support/measure.h"
#include "yuccamast/balance/policy.h"
#include "yuccamast/config/configuration.h"

/// `make capacity`: measures how processor time, memory and durations grow with
/// the load, for docs/CAPACITY.md.
///
/// Each quantity is measured at four sizes or more and fitted by a line; the
/// slope is printed with its standard error. The slopes over the number of
/// nodes come from `make bench-fleet`.

namespace {

using yuccamast::testing::CpuSeconds;
using yuccamast::testing::FitLine;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::LineFit;
using yuccamast::testing::LocalFleet;
using yuccamast::testing::RawConnection;
using yuccamast::testing::ResidentKb;
using SteadyClock = std::chrono::steady_clock;

const std::string kRules = R"({"rules": {"read": {"service": "shop",
  "path": "/read/**", "idempotent": true}}})";

FleetSpec TwoVmSpec() {
  FleetSpec spec;
  spec.vms = {{"vm-entry", "", "", "dc1"},
              {"vm-exit", "shop-1", "shop", "dc1", "r1", 200}};
  spec.config_files.push_back({"20-rules.json", kRules});
  return spec;
}

/// Fits a line to the measurements and prints it as `slope NAME ...`.
void PrintFit(const std::string& name,
              const std::vector<double>& x,
              const std::vector<double>& y,
              const std::string& unit) {
  const LineFit fit = FitLine(x, y);
  std::cout << "slope " << name << " points=" << x.size()
            << " slope=" << fit.slope << " error=" << fit.slope_error
            << " intercept=" << fit.intercept << " unit=" << unit << std::endl;
}

/// Measures the processor time of entry and exit over calls a second. As the
/// processor time is in cores (seconds a second), the slope is in seconds a
/// call.
void MeasureCpuPerCall() {
  LocalFleet fleet(TwoVmSpec());
  fleet.WaitUntilReady();
  std::vector<double> rates;
  std::vector<double> entry_cores;
  std::vector<double> exit_cores;
  for (const double rate : {200.0, 400.0, 800.0, 1600.0}) {
    yuccamast::bench::LoadPlan plan;
    plan.entries = {fleet.vm(0).caller_port};
    plan.rate = rate;
    plan.seconds = 5;
    plan.mix = {{"read", "GET", "/read/1?sleep_ms=2", 1, true, 0}};
    const double entry_before = CpuSeconds(fleet.vm(0).node->pid());
    const double exit_before = CpuSeconds(fleet.vm(1).node->pid());
    yuccamast::bench::RunLoad(plan);
    rates.push_back(rate);
    entry_cores.push_back((CpuSeconds(fleet.vm(0).node->pid()) - entry_before) /
                          5);
    exit_cores.push_back((CpuSeconds(fleet.vm(1).node->pid()) - exit_before) /
                         5);
    std::cout << "calls_per_s=" << rate << " entry_core=" << entry_cores.back()
              << " exit_core=" << exit_cores.back() << std::endl;
  }
  PrintFit("entry_core_seconds_per_call", rates, entry_cores, "s");
  PrintFit("exit_core_seconds_per_call", rates, exit_cores, "s");
}

/// Measures the resident memory of an entry over idle connections of callers.
void MeasureMemoryPerIdleConnection() {
  LocalFleet fleet(TwoVmSpec());
  fleet.WaitUntilReady();
  std::vector<std::unique_ptr<RawConnection>> idle;
  std::vector<double> counts;
  std::vector<double> resident_kb;
  for (const std::size_t count : {0U, 1000U, 2000U, 4000U, 8000U}) {
    while (idle.size() < count) {
      idle.push_back(std::make_unique<RawConnection>(fleet.vm(0).caller_port));
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    counts.push_back(static_cast<double>(count));
    resident_kb.push_back(
        static_cast<double>(ResidentKb(fleet.vm(0).node->pid())));
    std::cout << "idle=" << count << " rss_kb=" << resident_kb.back()
              << std::endl;
  }
  PrintFit("rss_kb_per_idle_connection", counts, resident_kb, "KiB");
}

/// Returns a configuration with this number of upstreams, services in
/// proportion (94 for 610 upstreams, at least one), and 8 rules for each
/// service.
std::string MakeConfigText(std::size_t upstreams) {
  std::ostringstream text;
  text << R"({"services": {)";
  const std::size_t services = std::max<std::size_t>(1, upstreams * 94 / 610);
  for (std::size_t i = 0; i < services; ++i) {
    text << (i == 0 ? "" : ",") << "\"s" << i << "\": {}";
  }
  text << R"(}, "upstreams": {)";
  for (std::size_t i = 0; i < upstreams; ++i) {
    text << (i == 0 ? "" : ",") << "\"u" << i << R"(": {"service": "s)"
         << i % services << R"(", "vm": "vm-)" << i << "\"}";
  }
  text << R"(}, "rules": {)";
  for (std::size_t i = 0; i < services * 8; ++i) {
    text << (i == 0 ? "" : ",") << "\"r" << i << R"(": {"service": "s)"
         << i % services << R"(", "path": "/s)" << i % services << "/r" << i
         << R"(/*"})";
  }
  text << "}}";
  return text.str();
}

/// Measures the time to parse, merge and check a configuration over the number
/// of upstreams.
void MeasureConfigMerge() {
  std::vector<double> sizes;
  std::vector<double> times;
  for (const std::size_t upstreams : {76U, 152U, 305U, 610U}) {
    const std::string text = MakeConfigText(upstreams);
    const auto started_at = SteadyClock::now();
    const auto merged = yuccamast::MergeConfiguration({{"a.json", text}}, 1);
    const double elapsed_ms = std::chrono::duration<double, std::milli>(
                                  SteadyClock::now() - started_at)
                                  .count();
    sizes.push_back(static_cast<double>(upstreams));
    times.push_back(elapsed_ms);
    std::cout << "upstreams=" << upstreams << " bytes=" << text.size()
              << " merged=" << static_cast<bool>(merged)
              << " merge_ms=" << elapsed_ms << std::endl;
  }
  PrintFit("config_merge_ms_per_upstream", sizes, times, "ms");
}

/// Returns a configuration with one service and this number of prefix rules.
std::string MakePrefixRulesText(std::size_t rules) {
  std::ostringstream text;
  text << R"({"services": {"s": {}}, "rules": {)";
  for (std::size_t i = 0; i < rules; ++i) {
    text << (i == 0 ? "" : ",") << "\"r-" << i * 7919 << R"(": {"service": "s",
      "host": "shop.example", "prefix": "/p)"
         << i * 104729 << R"(/", "idempotent": true, "deadline_ms": 1500,
      "objective_ms": 600, "urgency": 2, "max_upstreams": 2})";
  }
  text << "}}";
  return text.str();
}

/// Measures the time to parse, merge and check a configuration over the number
/// of prefix rules.
void MeasureRuleMerge() {
  std::vector<double> sizes;
  std::vector<double> times;
  for (const std::size_t rules : {350U, 700U, 1400U, 2800U}) {
    const std::string text = MakePrefixRulesText(rules);
    const auto started_at = SteadyClock::now();
    const auto merged = yuccamast::MergeConfiguration({{"a.json", text}}, 1);
    const double elapsed_ms = std::chrono::duration<double, std::milli>(
                                  SteadyClock::now() - started_at)
                                  .count();
    sizes.push_back(static_cast<double>(rules));
    times.push_back(elapsed_ms);
    std::cout << "rules=" << rules << " bytes=" << text.size()
              << " merged=" << static_cast<bool>(merged)
              << " merge_ms=" << elapsed_ms << std::endl;
  }
  PrintFit("config_merge_ms_per_rule", sizes, times, "ms");
}

/// Measures the time to choose an upstream by the policy `least_cost` over the
/// number of candidates.
void MeasureChoice() {
  using namespace yuccamast;  // NOLINT
  std::vector<double> sizes;
  std::vector<double> times;
  for (const std::size_t count : {7U, 60U, 200U, 610U}) {
    const TimePoint now = Clock::now();
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
      candidates.push_back(
          {std::make_shared<UpstreamState>(now, false), Duration::zero()});
      LoadReport report;
      report.running = static_cast<std::uint32_t>(i % 9);
      report.limit = 10;
      report.service_us = 5000;
      candidates.back().state->OnReport(report, now);
    }
    std::mt19937_64 random(1);
    const RandomHook hook = [&] { return random(); };
    ChoiceContext context;
    context.now = now + std::chrono::milliseconds(1);
    constexpr int kChoices = 200'000;
    std::size_t sum = 0;
    const auto started_at = SteadyClock::now();
    for (int i = 0; i < kChoices; ++i) {
      sum += *Choose(PolicyKind::kLeastCost, candidates, {}, context, hook);
    }
    const double mean_ns = std::chrono::duration<double, std::nano>(
                               SteadyClock::now() - started_at)
                               .count() /
                           kChoices;
    sizes.push_back(static_cast<double>(count));
    times.push_back(mean_ns);
    std::cout << "candidates=" << count << " choice_ns=" << mean_ns
              << " mean_index=" << static_cast<double>(sum) / kChoices
              << std::endl;
  }
  PrintFit("choice_ns_per_candidate", sizes, times, "ns");
}

}  // namespace

int main() {
  MeasureChoice();
  MeasureConfigMerge();
  MeasureRuleMerge();
  MeasureMemoryPerIdleConnection();
  MeasureCpuPerCall();
  return 0;
}
