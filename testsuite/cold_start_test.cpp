#include <criterion/criterion.h>

#include <csignal>
#include <sstream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// System tests of an upstream that is cold: it must not get more requests in
/// any second than it bears, from all entries together.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

/// Starts a second that a cold upstream bears, as in the configuration.
constexpr long kColdLimit = 10;
/// The bound in any second. It leaves room for requests that are late on their
/// way, and for a restart of the node.
constexpr long kMostInSecond = kColdLimit * 3 / 2 + 8;

/// Three VMs, of which the first has an upstream.
FleetSpec OneUpstreamSpec() {
  FleetSpec spec;
  spec.vms = {{"vm-1", "shop-1", "shop"}, {"vm-2", "", ""}, {"vm-3", "", ""}};
  spec.service_options["shop"] =
      R"({"cold_starts_per_s": 10, "cold_start_ms": 3000})";
  spec.config_files.push_back({"20-rules.json", R"({"rules": {
    "read": {"service": "shop", "method": "GET", "path": "/read/**",
             "idempotent": true, "deadline_ms": 1000},
    "order": {"service": "shop", "method": "POST", "path": "/order",
              "deadline_ms": 1000}}})"});
  return spec;
}

void SetUpstream(LocalFleet& fleet, const std::string& query) {
  SendRequest(fleet.vm(0).upstream_port, "GET", "/_standin/set?" + query);
}

/// A count of the upstream since it was last set.
long Count(LocalFleet& fleet, const std::string& wanted) {
  std::istringstream text(
      SendRequest(fleet.vm(0).upstream_port, "GET", "/_standin/state").body);
  std::string name;
  long value = 0;
  while (text >> name >> value && name != wanted) {
  }
  return value;
}

/// Sends far more than the limit through all entries.
void SendLoad(LocalFleet& fleet, double seconds) {
  bench::LoadPlan plan;
  plan.entries = fleet.EntryPorts();
  plan.rate = 150;
  plan.seconds = seconds;
  plan.mix = {{"read", "GET", "/read/1", 3, true, 0},
              {"order", "POST", "/order", 1, false, 4}};
  bench::RunLoad(plan);
}

}  // namespace

// Load: far more than it bears, when the upstream turns cold without notice.
// Guards against the calls that are sent before the exit knows, and against a
// limit that stays when the upstream is warm again.
Test(cold_start, upstream_that_turns_cold_under_load_gets_what_it_bears) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  std::thread load([&] { SendLoad(fleet, 8); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  SetUpstream(fleet, "cold_ms=3000");
  load.join();
  const long busiest = Count(fleet, "busiest_cold");
  cr_expect_leq(busiest, kMostInSecond, "%ld requests in a second", busiest);
  cr_expect_geq(busiest, kColdLimit / 2, "the cold upstream is not used");
  cr_expect_gt(Count(fleet, "busiest"), 8 * kColdLimit, "still held back");
}

// Failure: the node is killed and restarts beside a cold upstream. Guards
// against a new process that knows nothing and starts all that the slots take.
Test(cold_start, limit_holds_after_a_restart_of_the_node) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  SetUpstream(fleet, "cold_ms=60000");
  SendLoad(fleet, 2);
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.vm(0).node->Wait(std::chrono::seconds(5));
  fleet.StartNode(0);
  SendLoad(fleet, 5);
  const long busiest = Count(fleet, "busiest_cold");
  cr_expect_leq(busiest, kMostInSecond, "%ld requests in a second", busiest);
}
