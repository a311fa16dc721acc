#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "support/local_fleet.h"
#include "support/measure.h"

/// `make bench-fleet`: membership and configuration over real nodes of several
/// fleet sizes, with changes, kills, stops and pauses by a seed. Events are
/// timed by the nodes' own log lines; all run on one machine and clock.

namespace {

using yuccamast::JsonValue;
using yuccamast::testing::CpuSeconds;
using yuccamast::testing::FleetSpec;
using yuccamast::testing::HttpAnswer;
using yuccamast::testing::IntAt;
using yuccamast::testing::LocalFleet;
using yuccamast::testing::LogTime;
using yuccamast::testing::Request;
using yuccamast::testing::ResidentKb;
using yuccamast::testing::WallSeconds;

constexpr int kChanges = 8;
constexpr int kKills = 3;
constexpr int kStops = 3;
constexpr int kPauses = 4;
constexpr auto kQuiet = std::chrono::seconds(10);

struct Row {
  std::size_t nodes = 0;
  double config_p50_ms = 0;
  double config_max_ms = 0;
  std::size_t reverts = 0;
  std::size_t false_dead = 0;
  double leaving_max_ms = 0;
  double killed_max_ms = 0;
  double service_calls_per_s = 0;
  double storm_peak_per_s = 0;
  double control_bytes_per_s = 0;
  double control_core_share = 0;
  double rss_mb = 0;
};

FleetSpec Spec(std::size_t count) {
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
  spec.files.push_back({"20-rules.json",
                        R"({"rules": {"read": {"service": "shop",
                           "path": "/read/**"}}})"});
  spec.settings.push_back({"entry_threads", 1});
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 3000}}});
  return spec;
}

class FleetBench {
 public:
  FleetBench(std::size_t count, std::uint64_t seed)
      : m_random(seed), m_fleet(Spec(count)) {
    m_row.nodes = count;
  }

  Row Run() {
    if (!m_fleet.WaitReady(std::chrono::seconds(60))) {
      std::cerr << "the nodes did not become ready\n";
      return m_row;
    }
    m_row.storm_peak_per_s = PeakCalls();
    std::this_thread::sleep_for(std::chrono::seconds(8));
    MeasureQuiet();
    MeasureChanges();
    MeasureKills();
    MeasureStops();
    MeasurePauses();
    CountReverts();
    return m_row;
  }

 private:
  std::size_t Pick() { return 1 + m_random() % (m_fleet.size() - 1); }

  double PeakCalls() {
    std::istringstream text(
        Request(m_fleet.platform_port(), "GET", "/_standin/calls").body);
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

  double TotalCalls() {
    std::istringstream text(
        Request(m_fleet.platform_port(), "GET", "/_standin/calls").body);
    std::string word;
    double config = 0;
    double vms = 0;
    text >> word >> config >> word >> vms;
    return config + vms;
  }

  void MeasureQuiet() {
    const auto read = [&](std::size_t i, const std::string& key) {
      return static_cast<double>(
          IntAt(m_fleet.Dump(i), "metrics.counters." + key));
    };
    const std::vector<std::size_t> sample = {1, m_fleet.size() / 2,
                                             m_fleet.size() - 1};
    double bytes = 0;
    double cpu = 0;
    const double calls = TotalCalls();
    const double begun = WallSeconds();
    for (const std::size_t i : sample) {
      bytes -=
          read(i, "control_bytes_sent") + read(i, "control_bytes_received");
      cpu -= CpuSeconds(m_fleet.vm(i).node->pid());
    }
    std::this_thread::sleep_for(kQuiet);
    for (const std::size_t i : sample) {
      cpu += CpuSeconds(m_fleet.vm(i).node->pid());
      bytes +=
          read(i, "control_bytes_sent") + read(i, "control_bytes_received");
      m_row.rss_mb = std::max(
          m_row.rss_mb,
          static_cast<double>(ResidentKb(m_fleet.vm(i).node->pid())) / 1024);
    }
    const double took = WallSeconds() - begun;
    const auto nodes = static_cast<double>(sample.size());
    m_row.control_bytes_per_s = bytes / took / nodes;
    m_row.control_core_share = cpu / took / nodes;
    m_row.service_calls_per_s = (TotalCalls() - calls) / took;
  }

  /// Time of the first line of node `i` after `since` that holds every text.
  double EventTime(std::size_t i,
                   double since,
                   const std::vector<std::string>& texts) {
    std::ifstream log(m_fleet.folder() + "/" + m_fleet.vm(i).spec.vm + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const bool all = std::ranges::all_of(texts, [&](const auto& text) {
        return line.find(text) != std::string::npos;
      });
      const double time = all ? LogTime(line) : 0;
      if (time >= since) {
        return time;
      }
    }
    return 0;
  }

  /// Milliseconds until every node but `except` logged the event; -1 if not
  /// all did.
  std::vector<double> Delays(std::size_t except,
                             double since,
                             const std::vector<std::string>& texts) {
    std::vector<double> delays;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      if (i == except || !m_fleet.vm(i).node->Running()) {
        continue;
      }
      const double time = EventTime(i, since, texts);
      delays.push_back(time == 0 ? -1 : (time - since) * 1000);
    }
    std::ranges::sort(delays);
    return delays;
  }

  static double MaxOf(const std::vector<double>& delays) {
    const bool missing = !delays.empty() && delays.front() < 0;
    return missing || delays.empty() ? 99'999 : delays.back();
  }

  void MeasureChanges() {
    std::vector<double> medians;
    for (int change = 0; change < kChanges; ++change) {
      const auto revision = static_cast<std::uint64_t>(change) + 2;
      const double since = WallSeconds();
      m_fleet.Publish(revision,
                      {{"30.json", R"({"rules": {"read": {"deadline_ms": )" +
                                       std::to_string(100 + change) + "}}}"}});
      std::this_thread::sleep_for(std::chrono::seconds(4));
      const auto delays =
          Delays(m_fleet.size(), since,
                 {"event=config_accepted",
                  "revision=" + std::to_string(revision) + " "});
      medians.push_back(delays[delays.size() / 2]);
      m_row.config_max_ms = std::max(m_row.config_max_ms, MaxOf(delays));
    }
    std::ranges::sort(medians);
    m_row.config_p50_ms = medians[medians.size() / 2];
  }

  void MeasureKills() {
    for (int kill = 0; kill < kKills; ++kill) {
      const std::size_t victim = Pick();
      const std::string vm = "vm=" + m_fleet.vm(victim).spec.vm + " ";
      const double since = WallSeconds();
      m_fleet.vm(victim).node->Signal(SIGKILL);
      std::this_thread::sleep_for(std::chrono::seconds(7));
      const auto delays =
          Delays(victim, since, {"event=member_changed", vm, "state=gone"});
      m_row.killed_max_ms = std::max(m_row.killed_max_ms, MaxOf(delays));
      m_fleet.StartNode(victim);
      std::this_thread::sleep_for(std::chrono::seconds(3));
    }
  }

  void MeasureStops() {
    for (int stop = 0; stop < kStops; ++stop) {
      const std::size_t victim = Pick();
      const std::string vm = "vm=" + m_fleet.vm(victim).spec.vm + " ";
      const double since = WallSeconds();
      m_fleet.vm(victim).node->Signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(2800));
      const auto delays =
          Delays(victim, since, {"event=member_changed", vm, "leaving=1"});
      m_row.leaving_max_ms = std::max(m_row.leaving_max_ms, MaxOf(delays));
      m_fleet.vm(victim).node->Wait(std::chrono::seconds(10));
      m_fleet.StartNode(victim);
      std::this_thread::sleep_for(std::chrono::seconds(3));
    }
  }

  void MeasurePauses() {
    for (int pause = 0; pause < kPauses; ++pause) {
      const std::size_t victim = Pick();
      const double since = WallSeconds();
      m_fleet.vm(victim).node->Signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::seconds(2));
      m_fleet.vm(victim).node->Signal(SIGCONT);
      std::this_thread::sleep_for(std::chrono::seconds(4));
      for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        const double gone =
            EventTime(i, since, {"event=member_changed", "state=gone"});
        m_row.false_dead += gone > 0 ? 1 : 0;
      }
    }
  }

  void CountReverts() {
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      std::ifstream log(m_fleet.folder() + "/" + m_fleet.vm(i).spec.vm +
                        ".log");
      std::string line;
      long last = 0;
      while (std::getline(log, line)) {
        last = line.find("event=node_started") != std::string::npos ? 0 : last;
        const std::size_t at = line.find("event=config_accepted revision=");
        if (at == std::string::npos) {
          continue;
        }
        const long revision = std::strtol(line.c_str() + at + 31, nullptr, 10);
        m_row.reverts += revision < last ? 1 : 0;
        last = revision;
      }
    }
  }

  std::mt19937_64 m_random;
  LocalFleet m_fleet;
  Row m_row;
};

void Print(const Row& row) {
  std::cout << "fleet nodes=" << row.nodes
            << " config_p50_ms=" << row.config_p50_ms
            << " config_max_ms=" << row.config_max_ms
            << " reverts=" << row.reverts << " false_dead=" << row.false_dead
            << " leaving_max_ms=" << row.leaving_max_ms
            << " killed_max_ms=" << row.killed_max_ms
            << " service_calls_per_s=" << row.service_calls_per_s
            << " storm_peak_calls_per_s=" << row.storm_peak_per_s
            << " control_bytes_per_s_per_node=" << row.control_bytes_per_s
            << " control_core_share=" << row.control_core_share
            << " rss_mb=" << row.rss_mb << std::endl;
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
