#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "bench/load.h"
#include "standin/options.h"

/// `yuccamast-load run [OPTIONS]`: the load driver as a program.

namespace yuccamast::bench {

namespace {

std::vector<std::uint16_t> ParsePorts(const std::string& text) {
  std::vector<std::uint16_t> ports;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    ports.push_back(static_cast<std::uint16_t>(std::stoul(item)));
  }
  return ports;
}

/// `METHOD:TARGET:WEIGHT:idempotent|once[:BODY_BYTES]`
RequestKind ParseKind(const std::string& text) {
  std::istringstream in(text);
  std::array<std::string, 5> part;
  std::ranges::for_each(
      part, [&](std::string& item) { std::getline(in, item, ':'); });
  RequestKind kind;
  kind.name = part[0] + " " + part[1];
  kind.method = part[0];
  kind.target = part[1];
  kind.weight = std::stod(part[2]);
  kind.idempotent = part[3] == "idempotent";
  kind.body_bytes = part[4].empty() ? 0 : std::stoul(part[4]);
  return kind;
}

void PrintReport(const LoadPlan& plan,
                 const std::vector<RequestRecord>& records) {
  std::array<std::size_t, kOutcomeCount> counts{};
  std::vector<double> latencies;
  std::ranges::for_each(records, [&](const RequestRecord& record) {
    ++counts.at(static_cast<std::size_t>(record.outcome));
    if (record.outcome == Outcome::kAnswered) {
      latencies.push_back(record.latency_ms);
    }
  });
  std::cout << "requests=" << records.size();
  for (std::size_t i = 0; i < kOutcomeCount; ++i) {
    std::cout << " " << NameOf(static_cast<Outcome>(i)) << "=" << counts.at(i);
  }
  std::cout << " p50_ms=" << Percentile(latencies, 0.5)
            << " p99_ms=" << Percentile(latencies, 0.99)
            << " p999_ms=" << Percentile(latencies, 0.999)
            << " seed=" << plan.seed << "\n";
}

int Run(const cxxopts::ParseResult& parsed) {
  LoadPlan plan;
  plan.entries = ParsePorts(parsed["entries"].as<std::string>());
  plan.rate = parsed["rate"].as<double>();
  plan.seconds = parsed["seconds"].as<double>();
  plan.seed = parsed["seed"].as<std::uint64_t>();
  plan.idle_connections = parsed["idle"].as<std::size_t>();
  std::ranges::transform(parsed["kind"].as<std::vector<std::string>>(),
                         std::back_inserter(plan.mix), ParseKind);
  const auto records = RunLoad(plan);
  PrintReport(plan, records);
  const auto ledgers = ParsePorts(parsed["ledgers"].as<std::string>());
  if (ledgers.empty()) {
    return 0;
  }
  const Verdict verdict = Judge(plan, records, ReadLedgers(ledgers));
  std::cout << "wrong=" << verdict.wrong
            << " double_runs=" << verdict.double_runs
            << " false_not_run=" << verdict.false_not_run
            << " missing_runs=" << verdict.missing_runs << "\n";
  const bool clean = verdict.wrong + verdict.double_runs +
                         verdict.false_not_run + verdict.missing_runs ==
                     0;
  return clean ? 0 : 1;
}

int RunMain(int argc, char** argv) {
  cxxopts::Options options("yuccamast-load run", "Open-loop load driver.");
  options.add_options()("entries", "Ports of the entries on loopback, by comma",
                        cxxopts::value<std::string>())(
      "ledgers", "Ports of the upstream stand-ins, by comma",
      cxxopts::value<std::string>()->default_value(""))(
      "rate", "Requests a second",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "Duration", cxxopts::value<double>()->default_value("5"))(
      "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "idle", "Idle connections beside the load",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "kind", "METHOD:TARGET:WEIGHT:idempotent|once[:BODY_BYTES], repeatable",
      cxxopts::value<std::vector<std::string>>());
  return standin::WithOptions(options, argc, argv, Run);
}

}  // namespace

}  // namespace yuccamast::bench

int main(int argc, char** argv) {
  const std::string_view command = argc > 1 ? argv[1] : "";
  if (command != "run") {
    std::cerr << "Usage: yuccamast-load run [OPTIONS]\n";
    return 2;
  }
  return yuccamast::bench::RunMain(argc - 1, argv + 1);
}
