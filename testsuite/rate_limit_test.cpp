#include <criterion/criterion.h>

#include <csignal>
#include <sstream>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// System tests of the rate that an upstream names in its replies: it must not
/// get more requests than that from all entries together.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

constexpr long kRateLimit = 5;
/// What an upstream may get in any 4 s: one and a half times its rate, and five
/// requests.
constexpr long kMostInWindow = kRateLimit * 4 * 3 / 2 + 5;

/// Three VMs, of which the first has an upstream.
FleetSpec OneUpstreamSpec() {
  FleetSpec spec;
  spec.vms = {{"vm-1", "shop-1", "shop"}, {"vm-2", "", ""}, {"vm-3", "", ""}};
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

/// Most requests that the upstream got in any 4 s since it was last set.
long BusiestWindow(LocalFleet& fleet) {
  std::istringstream text(
      SendRequest(fleet.vm(0).upstream_port, "GET", "/_standin/state").body);
  std::string name;
  long value = 0;
  while (text >> name >> value && name != "busiest") {
  }
  return value;
}

/// Sends far more than the rate through all entries.
void SendLoad(LocalFleet& fleet, double seconds) {
  bench::LoadPlan plan;
  plan.entries = fleet.EntryPorts();
  plan.rate = 60;
  plan.seconds = seconds;
  plan.mix = {{"read", "GET", "/read/1", 3, true, 0},
              {"order", "POST", "/order", 1, false, 4}};
  bench::RunLoad(plan);
}

}  // namespace

// Guards against an upstream that gets far more requests than the rate that it
// names, because entries send whatever its slots would take.
Test(rate_limit, upstream_gets_no_more_than_the_rate_that_it_names) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  SetUpstream(fleet, "rate_limit=" + std::to_string(kRateLimit));
  SendLoad(fleet, 1);
  SetUpstream(fleet, "");
  SendLoad(fleet, 6);
  const long busiest = BusiestWindow(fleet);
  cr_expect_leq(busiest, kMostInWindow, "%ld requests in 4 s", busiest);
  cr_expect_geq(busiest, kRateLimit, "the rate is not used");
}

// Guards against a restarted node that knows nothing of the limit and lets
// through all that its upstream's slots would take.
Test(rate_limit, limit_holds_after_a_restart_of_the_node) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  SetUpstream(fleet, "rate_limit=" + std::to_string(kRateLimit));
  SendLoad(fleet, 1);
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.vm(0).node->Wait(std::chrono::seconds(5));
  SetUpstream(fleet, "");
  fleet.StartNode(0);
  SendLoad(fleet, 6);
  const long busiest = BusiestWindow(fleet);
  cr_expect_leq(busiest, kMostInWindow, "%ld requests in 4 s", busiest);
}

// Guards against a limit that outlives what the upstream says: once its replies
// do not name it any more, calls are served as before.
Test(rate_limit, limit_ends_when_replies_no_longer_name_it) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  SetUpstream(fleet, "rate_limit=" + std::to_string(kRateLimit));
  SendLoad(fleet, 2);
  SetUpstream(fleet, "rate_limit=0");
  SendLoad(fleet, 2);
  SetUpstream(fleet, "");
  SendLoad(fleet, 4);
  const long busiest = BusiestWindow(fleet);
  cr_expect_gt(busiest, 4 * kMostInWindow, "%ld requests in 4 s", busiest);
}

// Guards against calls that are refused beside an idle upstream, since its node
// was there first and still assumes a limit that no reply has named yet.
Test(rate_limit, upstream_that_starts_after_its_node_gets_calls_at_once) {
  LocalFleet fleet(OneUpstreamSpec());
  cr_assert(fleet.WaitUntilReady());
  fleet.vm(0).upstream->Signal(SIGKILL);
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.StartNode(0);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  fleet.StartUpstream(0);
  cr_assert(fleet.WaitUntilReady());
  for (int i = 0; i < 4; ++i) {
    const auto reply = SendRequest(fleet.vm(0).caller_port, "POST",
                                   "/order?sleep_ms=0&cut=21", "data");
    cr_expect_eq(reply.Field("yuccamast-reason"), "reply_incomplete", "%s",
                 reply.raw.c_str());
  }
}
