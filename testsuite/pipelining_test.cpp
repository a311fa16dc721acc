#include <criterion/criterion.h>

#include "support/local_fleet.h"

/// System tests of pipelined requests against two nodes: the upstreams' counts
/// tell what ran, and how much of it at once.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

constexpr std::chrono::seconds kPatience{20};

const std::string kRules = R"({"rules": {
  "read": {"service": "shop", "method": "GET", "path": "/read/**",
           "idempotent": true, "deadline_ms": 30000},
  "order": {"service": "shop", "method": "POST", "path": "/order",
            "deadline_ms": 30000}}})";

/// A node that takes the calls, and one with the upstream.
FleetSpec TwoVmSpec() {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "till-1", "till"});
  spec.vms.push_back({"vm-2", "shop-1", "shop"});
  spec.config_files.push_back({"20-rules.json", kRules});
  return spec;
}

std::string Read(const std::string& id, const std::string& query) {
  return "GET /read/1?" + query + " HTTP/1.1\r\nHost: t\r\nX-Load-Id: " + id +
         "\r\n\r\n";
}

/// Waits until the fleet is ready and the exit has had a reply: before the
/// first one it starts a few calls a second only.
bool WaitUntilServing(LocalFleet& fleet) {
  return fleet.WaitUntilReady() &&
         SendRequest(fleet.vm(0).caller_port, "GET", "/read/1?sleep_ms=0", "",
                     "X-Load-Id: first\r\n")
                 .status == 200;
}

/// A count of the upstream `shop`, such as `running`.
long UpstreamCount(LocalFleet& fleet, const std::string& name) {
  const std::string text =
      "\n" +
      SendRequest(fleet.vm(1).upstream_port, "GET", "/_standin/state").body;
  const std::size_t found = text.find("\n" + name + " ");
  return found == std::string::npos
             ? -1
             : std::strtol(text.c_str() + found + name.size() + 2, nullptr, 10);
}

bool WaitForCount(LocalFleet& fleet, const std::string& name, long count) {
  return LocalFleet::WaitFor(
      [&] { return UpstreamCount(fleet, name) == count; }, kPatience);
}

}  // namespace

// Guards against pipelined requests that each wait for the work of the one
// before: all run at once at the upstream, whichever ends first, and the
// replies keep their order.
Test(pipelining, requests_run_at_once_and_are_answered_in_order) {
  LocalFleet fleet(TwoVmSpec());
  cr_assert(WaitUntilServing(fleet));
  RawConnection caller(fleet.vm(0).caller_port);
  cr_assert(caller.Send(
      Read("p0", "sleep_ms=3000") + Read("p1", "sleep_ms=2000&size=500000") +
      Read("p2", "sleep_ms=2000&fail=error") + Read("p3", "sleep_ms=2500")));
  for (const std::string id : {"p0", "p1", "p2", "p3"}) {
    const ReceivedReply reply = caller.ReadReply(kPatience);
    cr_expect(reply.complete);
    cr_expect(id == "p2" ? reply.status == 500
                         : reply.body.starts_with("id=" + id + " "),
              "%s: %s", id.c_str(), reply.raw.substr(0, 300).c_str());
  }
  cr_expect_eq(UpstreamCount(fleet, "peak"), 3);
}

// Guards against work for a caller that has left with several requests pending,
// and against a run of the write behind them.
Test(pipelining, disconnect_cancels_all) {
  for (const bool reset : {false, true}) {
    LocalFleet fleet(TwoVmSpec());
    cr_assert(WaitUntilServing(fleet));
    RawConnection caller(fleet.vm(0).caller_port);
    cr_assert(caller.Send(Read("d0", "sleep_ms=25000") +
                          Read("d1", "sleep_ms=25000") +
                          "POST /order HTTP/1.1\r\nHost: t\r\nX-Load-Id: d2"
                          "\r\nContent-Length: 0\r\n\r\n" +
                          Read("d3", "sleep_ms=25000")));
    cr_assert(WaitForCount(fleet, "running", 2));
    caller.Close(reset);
    cr_expect(WaitForCount(fleet, "cancelled", 2));
    const auto ledgers = fleet.ReadLedgers();
    cr_expect_eq(ledgers.size(), 3U);
    cr_expect_eq(ledgers.count("d2"), 0U);
  }
}
