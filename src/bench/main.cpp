#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "bench/load.h"
#include "standin/options.h"

/// `yuccamast-load run [OPTIONS]`: the load driver of load.h as a program.
/// It prints a line with counts and latencies and, if `--ledgers` is given, one
/// with the number of violations of each guarantee (see load.h). Exit code: 0,
/// or 1 after a violation or an error, or 2 for a wrong command line.

namespace yuccamast::bench {

namespace {

/// Parses port numbers separated by commas. Throws a std::logic_error for text
/// that is not a number. Precondition: no number is above 65535.
std::vector<std::uint16_t> ParsePorts(const std::string& text) {
  std::vector<std::uint16_t> ports;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, ',')) {
    ports.push_back(static_cast<std::uint16_t>(std::stoul(item)));
  }
  return ports;
}

/// Parses `METHOD:TARGET:WEIGHT:idempotent|once[:BODY_BYTES]`. Any word other
/// than `idempotent` counts as `once`. Throws a std::logic_error if a number is
/// malformed.
RequestKind ParseKind(const std::string& text) {
  std::istringstream in(text);
  std::array<std::string, 5> parts;
  std::ranges::for_each(
      parts, [&](std::string& item) { std::getline(in, item, ':'); });
  RequestKind kind;
  kind.name = parts[0] + " " + parts[1];
  kind.method = parts[0];
  kind.target = parts[1];
  kind.weight = std::stod(parts[2]);
  kind.idempotent = parts[3] == "idempotent";
  kind.body_bytes = parts[4].empty() ? 0 : std::stoul(parts[4]);
  return kind;
}

/// Prints the counts by outcome, and latencies of the answered requests.
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
  std::cout << " p50_ms=" << Quantile(latencies, 0.5)
            << " p99_ms=" << Quantile(latencies, 0.99)
            << " p999_ms=" << Quantile(latencies, 0.999)
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
  const LedgerCheck check =
      CheckAgainstLedgers(plan, records, ReadLedgers(ledgers));
  std::cout << "wrong=" << check.wrong << " double_runs=" << check.double_runs
            << " false_not_run=" << check.false_not_run
            << " missing_runs=" << check.missing_runs << "\n";
  const bool passed = check.wrong + check.double_runs + check.false_not_run +
                          check.missing_runs ==
                      0;
  return passed ? 0 : 1;
}

int RunMain(int argc, char** argv) {
  cxxopts::Options options(
      "yuccamast-load run",
      "Open-loop load generator that verifies the replies.");
  options.add_options()("entries",
                        "Loopback ports of the entries, comma-separated",
                        cxxopts::value<std::string>())(
      "ledgers",
      "Loopback ports of yuccamast-standin upstream, comma-separated",
      cxxopts::value<std::string>()->default_value(""))(
      "rate", "Requests a second, on average",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "Duration in seconds",
      cxxopts::value<double>()->default_value("5"))(
      "seed", "Seed of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "idle", "Connections to keep open without a request",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "kind", "METHOD:TARGET:WEIGHT:idempotent|once[:BODY_BYTES], repeatable",
      cxxopts::value<std::vector<std::string>>());
  return standin::RunWithOptions(options, argc, argv, Run);
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
