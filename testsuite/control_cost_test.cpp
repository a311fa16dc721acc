#include <criterion/criterion.h>

#include <thread>

#include "support/local_fleet.h"

/// System tests of what a node spends while it has nothing to do.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

// Guards against measuring that costs more than its budget: hundreds of nodes
// spend most of their time without a call, and nothing depends on the load of
// an idle upstream.
Test(control_cost, idle_node_probes_its_upstream_at_most_five_times_a_second) {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "shop-1", "shop"});
  spec.settings.push_back({"asks_load", true});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  const auto probes = [&] {
    return IntByPath(fleet.ReadDump(0), "metrics.counters.probes_sent");
  };
  const std::int64_t before = probes();
  cr_assert_geq(before, 0);
  const int seconds = 3;
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  cr_expect_leq(probes() - before, 5 * seconds);
  cr_expect_gt(probes(), before);
}
