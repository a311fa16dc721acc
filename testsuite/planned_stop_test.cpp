#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "support/local_fleet.h"

/// System tests of what a planned stop of one node (SIGTERM) does to calls that
/// reach it late: each is answered completely or refused as not run, and none
/// is cut off when the process ends.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

using std::chrono::milliseconds;

/// `order` is served beside vm-1, the others beside vm-2. Only `count` ends
/// before the stops of these tests do.
const std::string kRules = R"({"rules": {
  "order": {"service": "shop", "method": "POST", "path": "/order",
            "deadline_ms": 2500},
  "count": {"service": "stock", "method": "GET", "path": "/count",
            "idempotent": true, "deadline_ms": 500},
  "book": {"service": "stock", "method": "POST", "path": "/book",
           "deadline_ms": 60000}}})";

/// Two VMs; nodes drain from `announce` after SIGTERM until `drain` later.
FleetSpec StopFleetSpec(milliseconds announce, milliseconds drain) {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "shop-1", "shop"});
  spec.vms.push_back({"vm-2", "stock-1", "stock"});
  spec.config_files.push_back({"20-rules.json", kRules});
  spec.settings.push_back(
      {"stop", JsonValue::Object{{"announce_ms", announce.count()},
                                 {"drain_ms", drain.count()}}});
  return spec;
}

}  // namespace

// Guards against work that fails in a planned stop because the calls that it
// makes find no listener: a call still runs beside the stopping node, and calls
// another service through it.
Test(planned_stop, calls_of_work_still_running_are_served) {
  LocalFleet fleet(StopFleetSpec(milliseconds(400), milliseconds(4000)));
  cr_assert(fleet.WaitUntilReady());
  const std::uint16_t entry = fleet.vm(0).caller_port;
  ReceivedReply order;
  std::thread caller([&] {
    order = SendRequest(entry, "POST", "/order?sleep_ms=2000", "data",
                        "X-Load-Id: order\r\n");
  });
  std::this_thread::sleep_for(milliseconds(200));
  fleet.vm(0).node->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(900));
  const auto nested = SendRequest(entry, "GET", "/count?sleep_ms=10");
  const auto late = SendRequest(entry, "POST", "/book?sleep_ms=10", "data",
                                "X-Load-Id: late\r\n");
  caller.join();
  cr_expect_eq(nested.status, 200U, "%s", nested.raw.c_str());
  cr_expect_eq(late.Field("yuccamast-reason"), "leaving", "%s",
               late.raw.c_str());
  cr_expect_eq(fleet.ReadLedgers()["late"], 0U);
  cr_expect_eq(order.status, 200U, "%s", order.raw.c_str());
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(10)).value_or(-1),
               0);
}

// Guards against a request that is taken late in a planned stop, passed on, and
// cut off without an answer when the process ends. Its head began to arrive
// before the node stopped accepting.
Test(planned_stop, late_request_is_refused_as_not_run_instead_of_cut) {
  LocalFleet fleet(StopFleetSpec(milliseconds(300), milliseconds(2500)));
  cr_assert(fleet.WaitUntilReady());
  RawConnection caller(fleet.vm(0).caller_port);
  cr_assert(caller.Send("POST /book?sleep_ms=4000 HTTP/1.1\r\nHost: h\r\n"));
  std::this_thread::sleep_for(milliseconds(100));
  fleet.vm(0).node->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1200));
  cr_assert(caller.Send("X-Load-Id: late\r\nContent-Length: 0\r\n\r\n"));
  const auto reply = caller.ReadReply(std::chrono::seconds(5));
  cr_expect(reply.complete);
  cr_expect_eq(reply.status, 503U, "%s", reply.raw.c_str());
  cr_expect_eq(reply.Field("yuccamast-outcome"), "not-run", "%s",
               reply.raw.c_str());
  cr_expect_eq(fleet.ReadLedgers()["late"], 0U);
  caller.Close();
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(10)).value_or(-1),
               0);
}

// Guards against calls that are cut since the stop of the node was asked for
// twice: a restart and a shutdown of its VM may overlap.
Test(planned_stop, repeated_sigterm_cuts_no_call) {
  LocalFleet fleet(StopFleetSpec(milliseconds(400), milliseconds(4000)));
  cr_assert(fleet.WaitUntilReady());
  ReceivedReply order;
  std::thread caller([&] {
    order = SendRequest(fleet.vm(0).caller_port, "POST", "/order?sleep_ms=2000",
                        "data", "X-Load-Id: order\r\n");
  });
  std::this_thread::sleep_for(milliseconds(200));
  for (int i = 0; i < 3; ++i) {
    fleet.vm(0).node->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
  }
  caller.join();
  cr_expect_eq(order.status, 200U, "%s", order.raw.c_str());
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(10)).value_or(-1),
               0);
}

// Guards against a node that an operator cannot end at once.
Test(planned_stop, second_sigint_ends_the_node_at_once) {
  LocalFleet fleet(StopFleetSpec(milliseconds(5000), milliseconds(20000)));
  cr_assert(fleet.WaitUntilReady());
  fleet.vm(0).node->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(200));
  fleet.vm(0).node->Signal(SIGINT);
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(4)).value_or(-1), 1);
}
