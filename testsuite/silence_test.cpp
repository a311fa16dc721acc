#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <vector>

#include "support/local_fleet.h"

/// System tests of machines that are only silent for a while: their work is
/// neither started again elsewhere nor given up.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

using std::chrono::milliseconds;

/// One entry without an upstream of the service, and two upstreams.
FleetSpec SilenceFleetSpec() {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "front-1", "front"});
  spec.vms.push_back({"vm-2", "shop-2", "shop"});
  spec.vms.push_back({"vm-3", "shop-3", "shop"});
  spec.config_files.push_back({"20-rules.json", R"({"rules": {
    "order": {"service": "shop", "method": "POST", "path": "/order",
              "deadline_ms": 8000},
    "read": {"service": "shop", "method": "GET", "path": "/read/**",
             "idempotent": true, "deadline_ms": 8000,
             "max_upstreams": 1}}})"});
  return spec;
}

}  // namespace

// Guards against a booking that is run twice, or reported as failed, since the
// node beside its upstream was silent for longer than it takes to be suspect.
// Both exits pause, so that the one that has the call is among them.
Test(silence, running_work_of_a_silent_node_is_waited_for) {
  LocalFleet fleet(SilenceFleetSpec());
  cr_assert(fleet.WaitUntilReady());
  ReceivedReply reply;
  std::thread caller([&] {
    reply = SendRequest(fleet.vm(0).caller_port, "POST", "/order?sleep_ms=500",
                        "data", "X-Load-Id: once\r\n");
  });
  std::this_thread::sleep_for(milliseconds(250));
  for (const std::size_t index : {1U, 2U}) {
    fleet.vm(index).node->Signal(SIGSTOP);
  }
  std::this_thread::sleep_for(milliseconds(2000));
  for (const std::size_t index : {1U, 2U}) {
    fleet.vm(index).node->Signal(SIGCONT);
  }
  caller.join();
  cr_expect_eq(reply.status, 200U, "%s", reply.raw.c_str());
  cr_expect(reply.body.starts_with("id=once "), "%s", reply.raw.c_str());
  cr_expect_eq(fleet.ReadLedgers()["once"], 1U);
}

// Guards against an idempotent call that reaches more upstreams than its rule
// allows, since the one that it is given up at, beside a silent node, was not
// counted.
Test(silence, call_given_up_at_a_silent_node_counts_as_arrived) {
  constexpr std::size_t kCalls = 12;
  LocalFleet fleet(SilenceFleetSpec());
  cr_assert(fleet.WaitUntilReady());
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCalls; ++i) {
    callers.emplace_back([&fleet, i] {
      SendRequest(fleet.vm(0).caller_port, "GET", "/read/1?sleep_ms=3000", "",
                  "X-Load-Id: read-" + std::to_string(i) + "\r\n");
    });
  }
  std::this_thread::sleep_for(milliseconds(500));
  fleet.vm(1).node->Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.vm(1).node->Signal(SIGCONT);
  std::ranges::for_each(callers, [](std::thread& thread) { thread.join(); });
  const auto runs = fleet.ReadLedgers();
  cr_expect_geq(runs.size(), kCalls / 2);
  std::ranges::for_each(runs, [](const auto& item) {
    cr_expect_eq(item.second, 1U, "%s ran %u times", item.first.c_str(),
                 item.second);
  });
}
