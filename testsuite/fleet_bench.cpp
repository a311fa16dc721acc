#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "support/local_fleet.h"
#include "support/measure.h"

/// `make bench-fleet`: measures membership and configuration on fleets of
/// several sizes. The first argument, if given, is the only size.
///
/// Each fleet runs through a fixed sequence of configuration changes, kills,
/// graceful stops and pauses; a seeded generator chooses the nodes. The time of
/// an event at a node is that of the node's log line. All processes run on one
/// host, so that their clocks agree with that of the benchmark.

namespace {

using yuccamast::JsonValue;
using yuccamast::testing::CpuSeconds;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::IntByPath;
using yuccamast::testing::LocalFleet;
using yuccamast::testing::ParseLogTime;
using yuccamast::testing::ReceivedReply;
using yuccamast::testing::ResidentKb;
using yuccamast::testing::SendRequest;
using yuccamast::testing::UnixSeconds;

constexpr int kConfigChanges = 8;
constexpr int kKills = 3;
constexpr int kStops = 3;
constexpr int kPauses = 4;
/// Duration of the measurement without events.
constexpr auto kIdlePeriod = std::chrono::seconds(10);

/// Measurements of one fleet. Delays are until the last node has logged the
/// event, or 99,999 if not all nodes have; but `config_p50_ms` is the median of
/// the changes' median delays, with -1 for a node that hasn't.
struct BenchResult {
  std::size_t nodes = 0;
  double config_p50_ms = 0;
  double config_max_ms = 0;
  std::size_t reverts = 0;  ///< Times that a node went to an older revision.
  /// Nodes that declared a member gone because a node was paused for 2 s,
  /// summed over the pauses.
  std::size_t false_dead = 0;
  double leaving_max_ms = 0;       ///< Until a graceful stop is known.
  double killed_max_ms = 0;        ///< Until a killed node is known to be gone.
  double service_calls_per_s = 0;  ///< To the platform, without events.
  double startup_peak_per_s = 0;   ///< To the platform, all nodes starting.
  double control_bytes_per_s = 0;  ///< Sent and received by a node.
  double control_core_share = 0;   ///< Cores used by a node without calls.
  double rss_mb = 0;               ///< Largest resident memory, in MiB.
};

/// A fleet over 10 data centres in 3 regions. Only vm-1 has an upstream.
FleetSpec MakeFleetSpec(std::size_t count) {
  FleetSpec spec;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    yuccamast::testing::VmSpec vm;
    vm.vm = "vm-" + number;
    vm.data_centre = "dc" + std::to_string(i % 10);
    vm.region = "r" + std::to_string(i % 10 % 3);
    if (i == 1) {
      vm.upstream = "shop-1";
      vm.service = "shop";
    }
    spec.vms.push_back(vm);
  }
  spec.config_files.push_back({"20-rules.json",
                               R"({"rules": {"read": {"service": "shop",
                           "path": "/read/**"}}})"});
  spec.settings.push_back({"entry_threads", 1});
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 3000}}});
  return spec;
}

/// Runs the sequence on one fleet. Not thread-safe.
class FleetBench {
 public:
  /// Starts `count` nodes, at least 2.
  FleetBench(std::size_t count, std::uint64_t seed)
      : m_random(seed), m_fleet(MakeFleetSpec(count)) {
    m_result.nodes = count;
  }

  /// Blocks until the sequence is over. Returns partial results, with a message
  /// on stderr, if the fleet doesn't become ready.
  BenchResult Run() {
    if (!m_fleet.WaitUntilReady(std::chrono::seconds(60))) {
      std::cerr << "fleet_bench: the nodes did not become ready within 60 s\n";
      return m_result;
    }
    m_result.startup_peak_per_s = PeakPlatformCalls();
    std::this_thread::sleep_for(std::chrono::seconds(8));
    MeasureIdleLoad();
    MeasureConfigChanges();
    MeasureKills();
    MeasureStops();
    MeasurePauses();
    CountReverts();
    return m_result;
  }

 private:
  /// Returns the index of a random VM other than vm-1.
  std::size_t PickVictim() { return 1 + m_random() % (m_fleet.size() - 1); }

  /// Returns the largest number of calls to the platform in a second.
  double PeakPlatformCalls() {
    std::istringstream text(
        SendRequest(m_fleet.platform_port(), "GET", "/_standin/calls").body);
    std::string word;
    double peak = 0;
    while (text >> word) {
      double second = 0;
      double calls = 0;
      if (word == "second" && text >> second >> calls) {
        peak = std::max(peak, calls);
      }
    }
    return peak;
  }

  /// Returns the number of calls to the platform so far.
  double TotalPlatformCalls() {
    std::istringstream text(
        SendRequest(m_fleet.platform_port(), "GET", "/_standin/calls").body);
    std::string word;
    double config = 0;
    double vms = 0;
    text >> word >> config >> word >> vms;
    return config + vms;
  }

  /// Measures traffic, processor time and memory of three nodes, and the calls
  /// to the platform, while nothing changes.
  void MeasureIdleLoad() {
    const auto read = [&](std::size_t i, const std::string& key) {
      return static_cast<double>(
          IntByPath(m_fleet.ReadDump(i), "metrics.counters." + key));
    };
    const std::vector<std::size_t> sample = {1, m_fleet.size() / 2,
                                             m_fleet.size() - 1};
    double bytes = 0;
    double cpu = 0;
    const double calls = TotalPlatformCalls();
    const double started_at = UnixSeconds();
    for (const std::size_t i : sample) {
      bytes -=
          read(i, "control_bytes_sent") + read(i, "control_bytes_received");
      cpu -= CpuSeconds(m_fleet.vm(i).node->pid());
    }
    std::this_thread::sleep_for(kIdlePeriod);
    for (const std::size_t i : sample) {
      cpu += CpuSeconds(m_fleet.vm(i).node->pid());
      bytes +=
          read(i, "control_bytes_sent") + read(i, "control_bytes_received");
      m_result.rss_mb = std::max(
          m_result.rss_mb,
          static_cast<double>(ResidentKb(m_fleet.vm(i).node->pid())) / 1024);
    }
    const double elapsed = UnixSeconds() - started_at;
    const auto nodes = static_cast<double>(sample.size());
    m_result.control_bytes_per_s = bytes / elapsed / nodes;
    m_result.control_core_share = cpu / elapsed / nodes;
    m_result.service_calls_per_s = (TotalPlatformCalls() - calls) / elapsed;
  }

  /// Returns the time of the first log line of node `i` that contains all
  /// `texts` and isn't older than `since`, or 0 if there is none. Times are in
  /// Unix seconds.
  double EventTime(std::size_t i,
                   double since,
                   const std::vector<std::string>& texts) {
    std::ifstream log(m_fleet.folder() + "/" + m_fleet.vm(i).spec.vm + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const bool all = std::ranges::all_of(texts, [&](const auto& text) {
        return line.find(text) != std::string::npos;
      });
      const double time = all ? ParseLogTime(line) : 0;
      if (time >= since) {
        return time;
      }
    }
    return 0;
  }

  /// Returns, in ascending order, the milliseconds from `since` until each
  /// running node but `excluded` logged the event; -1 for a node that didn't.
  std::vector<double> EventDelays(std::size_t excluded,
                                  double since,
                                  const std::vector<std::string>& texts) {
    std::vector<double> delays;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      if (i == excluded || !m_fleet.vm(i).node->IsRunning()) {
        continue;
      }
      const double time = EventTime(i, since, texts);
      delays.push_back(time == 0 ? -1 : (time - since) * 1000);
    }
    std::ranges::sort(delays);
    return delays;
  }

  /// Returns the largest of `EventDelays`, or 99,999 if a node didn't log the
  /// event.
  static double MaxDelay(const std::vector<double>& delays) {
    const bool missing = !delays.empty() && delays.front() < 0;
    return missing || delays.empty() ? 99'999 : delays.back();
  }

  /// Publishes configurations and measures when the nodes accept them.
  void MeasureConfigChanges() {
    std::vector<double> medians;
    for (int change = 0; change < kConfigChanges; ++change) {
      const auto revision = static_cast<std::uint64_t>(change) + 2;
      const double since = UnixSeconds();
      m_fleet.Publish(revision,
                      {{"30.json", R"({"rules": {"read": {"deadline_ms": )" +
                                       std::to_string(100 + change) + "}}}"}});
      std::this_thread::sleep_for(std::chrono::seconds(4));
      const auto delays =
          EventDelays(m_fleet.size(), since,
                      {"event=config_accepted",
                       "revision=" + std::to_string(revision) + " "});
      medians.push_back(delays[delays.size() / 2]);
      m_result.config_max_ms =
          std::max(m_result.config_max_ms, MaxDelay(delays));
    }
    std::ranges::sort(medians);
    m_result.config_p50_ms = medians[medians.size() / 2];
  }

  /// Kills nodes and measures when the others declare them gone.
  void MeasureKills() {
    for (int kill = 0; kill < kKills; ++kill) {
      const std::size_t victim = PickVictim();
      const std::string vm = "vm=" + m_fleet.vm(victim).spec.vm + " ";
      const double since = UnixSeconds();
      m_fleet.vm(victim).node->Signal(SIGKILL);
      std::this_thread::sleep_for(std::chrono::seconds(7));
      const auto delays = EventDelays(
          victim, since, {"event=member_changed", vm, "state=gone"});
      m_result.killed_max_ms =
          std::max(m_result.killed_max_ms, MaxDelay(delays));
      m_fleet.StartNode(victim);
      std::this_thread::sleep_for(std::chrono::seconds(3));
    }
  }

  /// Stops nodes gracefully and measures when the others know that they leave.
  /// The wait is shorter than the time that a stop is announced (3 s).
  void MeasureStops() {
    for (int stop = 0; stop < kStops; ++stop) {
      const std::size_t victim = PickVictim();
      const std::string vm = "vm=" + m_fleet.vm(victim).spec.vm + " ";
      const double since = UnixSeconds();
      m_fleet.vm(victim).node->Signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(2800));
      const auto delays =
          EventDelays(victim, since, {"event=member_changed", vm, "leaving=1"});
      m_result.leaving_max_ms =
          std::max(m_result.leaving_max_ms, MaxDelay(delays));
      m_fleet.vm(victim).node->Wait(std::chrono::seconds(10));
      m_fleet.StartNode(victim);
      std::this_thread::sleep_for(std::chrono::seconds(3));
    }
  }

  /// Pauses nodes for 2 s and counts the nodes that wrongly declare a member
  /// gone.
  void MeasurePauses() {
    for (int pause = 0; pause < kPauses; ++pause) {
      const std::size_t victim = PickVictim();
      const double since = UnixSeconds();
      m_fleet.vm(victim).node->Signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::seconds(2));
      m_fleet.vm(victim).node->Signal(SIGCONT);
      std::this_thread::sleep_for(std::chrono::seconds(4));
      for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        const double gone =
            EventTime(i, since, {"event=member_changed", "state=gone"});
        m_result.false_dead += gone > 0 ? 1 : 0;
      }
    }
  }

  /// Counts, in the logs, revisions that a node accepted after a newer one. A
  /// node that starts again begins anew.
  void CountReverts() {
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      std::ifstream log(m_fleet.folder() + "/" + m_fleet.vm(i).spec.vm +
                        ".log");
      std::string line;
      long last = 0;
      while (std::getline(log, line)) {
        last = line.find("event=node_started") != std::string::npos ? 0 : last;
        const std::size_t position =
            line.find("event=config_accepted revision=");
        if (position == std::string::npos) {
          continue;
        }
        const long revision =
            std::strtol(line.c_str() + position + 31, nullptr, 10);
        m_result.reverts += revision < last ? 1 : 0;
        last = revision;
      }
    }
  }

  std::mt19937_64 m_random;
  LocalFleet m_fleet;
  BenchResult m_result;
};

/// Prints the result as one line `fleet KEY=VALUE ...`.
void Print(const BenchResult& result) {
  std::cout << "fleet nodes=" << result.nodes
            << " config_p50_ms=" << result.config_p50_ms
            << " config_max_ms=" << result.config_max_ms
            << " reverts=" << result.reverts
            << " false_dead=" << result.false_dead
            << " leaving_max_ms=" << result.leaving_max_ms
            << " killed_max_ms=" << result.killed_max_ms
            << " service_calls_per_s=" << result.service_calls_per_s
            << " storm_peak_calls_per_s=" << result.startup_peak_per_s
            << " control_bytes_per_s_per_node=" << result.control_bytes_per_s
            << " control_core_share=" << result.control_core_share
            << " rss_mb=" << result.rss_mb << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes = {10, 50, 100, 150};
  if (argc > 1) {
    sizes = {std::stoul(argv[1])};
  }
  std::ranges::for_each(
      sizes, [](std::size_t count) { Print(FleetBench(count, 1).Run()); });
  return 0;
}
