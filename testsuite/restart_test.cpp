#include <criterion/criterion.h>

#include <csignal>

#include "support/local_fleet.h"

/// System tests of what a node believes that has just started: it holds nothing
/// from before, and the services of the platform may be down or behind.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

using std::chrono::seconds;

/// Three VMs of one service, and an idempotent rule.
FleetSpec ThreeVmSpec() {
  FleetSpec spec;
  for (const char* number : {"1", "2", "3"}) {
    spec.vms.push_back(
        {std::string("vm-") + number, std::string("shop-") + number, "shop"});
  }
  spec.config_files.push_back({"20-rules.json", R"({"rules": {
    "read": {"service": "shop", "method": "GET", "path": "/read/**",
             "idempotent": true, "deadline_ms": 1000}}})"});
  return spec;
}

/// Requests that the upstream of a VM has run.
std::string Ledger(LocalFleet& fleet, std::size_t index) {
  return SendRequest(fleet.vm(index).upstream_port, "GET", "/_standin/ledger")
      .body;
}

/// Sends calls to the first node; all must succeed, and the upstream of the
/// third VM, which has left or is in an emptied data centre, must get none.
void ExpectThirdUpstreamUnused(LocalFleet& fleet) {
  const std::string before = Ledger(fleet, 2);
  for (int i = 0; i < 60; ++i) {
    const auto reply =
        SendRequest(fleet.vm(0).caller_port, "GET", "/read/1?sleep_ms=1", "",
                    "X-Load-Id: r" + std::to_string(i) + "\r\n");
    cr_expect_eq(reply.status, 200U, "%s", reply.raw.c_str());
  }
  cr_expect_eq(Ledger(fleet, 2), before);
}

/// Takes the third VM off the list and waits until the others know it.
bool RemoveThirdVm(LocalFleet& fleet) {
  fleet.PublishVmList({"vm-3"}, {});
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < 2; ++i) {
          const JsonValue dump = fleet.ReadDump(i);
          if (WriteJson(dump).find("shop-3") != std::string::npos) {
            return false;
          }
        }
        return true;
      },
      seconds(15));
}

}  // namespace

// Guards against an upstream that has left and is in use again after a node was
// restarted while the platform is down: only its peers can tell it.
Test(restart, node_restarted_in_an_outage_does_not_use_an_upstream_that_left) {
  LocalFleet fleet(ThreeVmSpec());
  cr_assert(fleet.WaitUntilReady());
  cr_assert(RemoveThirdVm(fleet));
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?down=1");
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.StartNode(0);
  cr_assert(fleet.WaitUntilReady());
  ExpectThirdUpstreamUnused(fleet);
}

// Guards against the same while the service with the VM list serves an older
// one, in which the upstream is still there.
Test(restart, node_restarted_with_an_older_list_does_not_use_an_upstream) {
  LocalFleet fleet(ThreeVmSpec());
  cr_assert(fleet.WaitUntilReady());
  const std::string older =
      SendRequest(fleet.platform_port(), "GET", "/v1/vms").body;
  cr_assert_neq(older.find("vm-3"), std::string::npos);
  cr_assert(RemoveThirdVm(fleet));
  SendRequest(fleet.platform_port(), "POST", "/_standin/vms", older);
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.StartNode(0);
  cr_assert(fleet.WaitUntilReady());
  ExpectThirdUpstreamUnused(fleet);
}

// Guards against calls to a data centre that the operator has emptied, from a
// node that was restarted while the platform is down: only its peers can tell
// it. Its status page marks the member there.
Test(restart, node_restarted_in_an_outage_holds_an_emptied_data_centre) {
  FleetSpec spec = ThreeVmSpec();
  spec.vms[2].data_centre = "dc2";
  LocalFleet fleet(spec);
  cr_assert(fleet.WaitUntilReady());
  fleet.PublishVmList({}, {}, {"dc2"});
  const auto holds = [&](std::size_t index) {
    const JsonValue dump = fleet.ReadDump(index);
    const JsonValue* names = FindByPath(dump, "config.evacuated");
    return names != nullptr && WriteJson(*names) == R"(["dc2"])";
  };
  cr_assert(LocalFleet::WaitFor(
      [&] { return holds(0) && holds(1) && holds(2); }, seconds(15)));
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?down=1");
  fleet.vm(0).node->Signal(SIGKILL);
  fleet.StartNode(0);
  cr_assert(fleet.WaitUntilReady());
  cr_expect(holds(0));
  ExpectThirdUpstreamUnused(fleet);
  const auto status = SendRequest(fleet.vm(0).control_port, "GET", "/status");
  cr_expect_neq(status.body.find(R"("evacuated":true)"), std::string::npos);
}
