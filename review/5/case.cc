// The store turns a third of the machines away, those that read it last, and
// serves the others. A change of the configuration must reach the others.
#include "../support/harness.hpp"

using namespace review;

namespace {
constexpr double kRefusedFor = 9.0;
constexpr double kConfigApply = 2.0;  // bound `config_apply`
constexpr double kStretchMax = 5.0;   // bound `stretch_max`
}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, [](bool trouble) {
    std::vector<MachinePlan> plan;
    for (int i = 0; i < 12; ++i) {
      plan.push_back({i % 3 == 0 ? "dispatch" : "ledger",
                      i % 2 == 0 ? "zone-a" : "zone-b"});
    }
    Deployment site(plan);
    const Route before{"ledger", "order.example", "/order/", false, 1500, 2};
    const Route after{"dispatch", "order.example", "/order/", false, 1500, 2};
    const Route ledger{"ledger", "history.example", "/history/", true, 1200, 2};
    const Route van{"dispatch", "van.example", "/van/", false, 2000, 2};
    for (std::size_t i = 0; i < plan.size(); ++i) {
      Backend::Options options =
          site.BackendOptions(i, Format("i-%zu%08zx", i, i * 7919));
      options.work_s = 0.1;
      site.AddBackend(options);
    }
    site.Start(Config(7, {before, ledger, van}));
    SleepS(4);
    const std::vector<int> away = site.store.LastReaders(4);
    const auto is_away = [&](std::size_t machine) {
      return std::find(away.begin(), away.end(), static_cast<int>(machine)) !=
             away.end();
    };
    std::atomic<bool> over{false};
    std::mutex mutex;
    std::map<std::string, std::pair<std::size_t, Outcome>> calls;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < plan.size(); ++i) {
      threads.emplace_back([&, i] {
        Client client(site.Ip(i), site.outbound());
        while (!over) {
          const Outcome outcome = client.Call("POST", before, 3000, "order");
          const std::lock_guard lock(mutex);
          calls[outcome.id] = {i, outcome};
        }
      });
    }
    SleepS(1);
    const double refused_at = Now();
    if (trouble) {
      for (const int machine : away) {
        site.store.SetRefused(machine, true);
        Note(Format("the store turns machine %d away", machine));
      }
    }
    SleepUntil(refused_at + 0.3);
    site.store.Put("op/config", Config(9, {after, ledger, van}));
    const double acknowledged_at = Now();
    Note("version 9 is acknowledged: /order/ goes to dispatch");
    SleepUntil(refused_at + kRefusedFor);
    for (const int machine : away) {
      site.store.SetRefused(machine, false);
      Note(Format("the store serves machine %d again", machine));
    }
    SleepS(3);
    over = true;
    for (auto& thread : threads) {
      thread.join();
    }
    int late = 0;
    int late_stretched = 0;
    std::set<std::size_t> machines;
    for (const Arrival& arrival : site.arrivals.All()) {
      const auto call = calls.find(arrival.id);
      if (!arrival.run || arrival.service != "ledger" || call == calls.end() ||
          is_away(call->second.first)) {
        continue;
      }
      const double age = call->second.second.sent_at - acknowledged_at;
      late += age > kConfigApply ? 1 : 0;
      late_stretched += age > kConfigApply + kStretchMax ? 1 : 0;
      if (age > kConfigApply) {
        machines.insert(call->second.first);
        Note(
            Format("OLD      %s, sent %.3f s after the acknowledgement to "
                   "machine %zu, is run by ledger",
                   arrival.id.c_str(), age, call->second.first));
      }
    }
    Note(
        Format("orders from machines that were never turned away, run by the "
               "old service: %d sent later than config_apply, %d later than "
               "config_apply + stretch_max, at %zu machines",
               late, late_stretched, machines.size()));
    printf("late %d, beyond the stretched bound %d, machines %zu\n", late,
           late_stretched, machines.size());
    return late == 0;
  });
}
