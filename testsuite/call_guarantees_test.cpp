#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

/// System tests of what callers are guaranteed: a call that isn't idempotent
/// runs at most once, a refusal says truthfully whether the call may have run,
/// replies are passed on complete or not at all, resources are released, and a
/// graceful stop fails no call. The ledgers of the upstreams tell how often
/// each call ran.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

/// An idempotent rule and one that isn't.
const std::string kRules = R"({"rules": {
  "read": {"service": "shop", "method": "GET", "path": "/read/**",
           "idempotent": true, "deadline_ms": 1000},
  "order": {"service": "shop", "method": "POST", "path": "/order",
            "deadline_ms": 1000}}})";

/// `count` VMs of one service.
FleetSpec ShopFleetSpec(std::size_t count) {
  FleetSpec spec;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    spec.vms.push_back({"vm-" + number, "shop-" + number, "shop"});
  }
  spec.config_files.push_back({"20-rules.json", kRules});
  return spec;
}

/// Sends a call that isn't idempotent. `query` controls the upstream, see
/// standin/upstream.h.
ReceivedReply SendOrder(LocalFleet& fleet,
                        const std::string& id,
                        const std::string& query,
                        std::size_t entry = 0) {
  return SendRequest(fleet.vm(entry).caller_port, "POST", "/order?" + query,
                     "data", "X-Load-Id: " + id + "\r\n");
}

/// Sends an idempotent call.
ReceivedReply SendRead(LocalFleet& fleet,
                       const std::string& id,
                       const std::string& query) {
  return SendRequest(fleet.vm(0).caller_port, "GET", "/read/1?" + query, "",
                     "X-Load-Id: " + id + "\r\n");
}

/// Checks for a complete refusal that says that the call may have run.
void ExpectUnknown(const ReceivedReply& reply, const std::string& reason) {
  cr_expect(reply.complete);
  cr_expect_eq(reply.Field("yuccamast-outcome"), "unknown", "%s",
               reply.raw.c_str());
  cr_expect_eq(reply.Field("yuccamast-reason"), reason, "%s",
               reply.raw.c_str());
}

/// Returns how often the call with this id ran.
unsigned RunCount(LocalFleet& fleet, const std::string& id) {
  return fleet.ReadLedgers()[id];
}

}  // namespace

// Guards against a second run of a call that isn't idempotent: HTTP clients
// often resend a request when a kept-alive connection is closed or reset. It
// may have run, so it must be refused with the outcome unknown.
Test(call_guarantees, non_idempotent_post_is_not_resent_after_connection_loss) {
  LocalFleet fleet(ShopFleetSpec(2));
  cr_assert(fleet.WaitUntilReady());
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(
        SendOrder(fleet, "warm" + std::to_string(i), "sleep_ms=1").status,
        200U);
  }
  ExpectUnknown(SendOrder(fleet, "a", "fail=close"), "upstream_lost");
  ExpectUnknown(SendOrder(fleet, "b", "fail=reset"), "upstream_lost");
  cr_expect_eq(RunCount(fleet, "a"), 1U);
  cr_expect_eq(RunCount(fleet, "b"), 1U);
}

// Guards against a truncated reply that is passed on as complete. Each time,
// the upstream closes the connection after a different number of bytes, in the
// head or in the body.
Test(call_guarantees, truncated_reply_is_never_passed_on) {
  LocalFleet fleet(ShopFleetSpec(1));
  cr_assert(fleet.WaitUntilReady());
  const std::size_t last_cut = 140;  // Beyond the head, within the body.
  for (std::size_t cut = 0; cut <= last_cut; cut += 7) {
    const std::string id = "cut" + std::to_string(cut);
    const auto reply =
        SendOrder(fleet, id, "size=200&sleep_ms=0&cut=" + std::to_string(cut));
    cr_expect_eq(reply.Field("yuccamast-outcome"), "unknown", "at %zu: %s", cut,
                 reply.raw.c_str());
    cr_expect_eq(RunCount(fleet, id), 1U);
  }
}

// Guards against passing on a reply whose end isn't certain: one without a
// length, with a wrong length, or without the last chunk. A complete chunked
// reply must pass.
Test(call_guarantees, replies_without_a_definite_end_are_refused) {
  LocalFleet fleet(ShopFleetSpec(1));
  cr_assert(fleet.WaitUntilReady());
  ExpectUnknown(SendOrder(fleet, "a", "fail=no_length"), "reply_incomplete");
  ExpectUnknown(SendOrder(fleet, "b", "fail=bad_length"), "reply_incomplete");
  ExpectUnknown(SendOrder(fleet, "c", "fail=cut_chunk"), "reply_incomplete");
  const auto chunked = SendOrder(fleet, "d", "fail=chunked");
  cr_expect_eq(chunked.status, 200U);
  cr_expect(chunked.body.starts_with("id=d "));
  cr_expect(chunked.body.ends_with("END"));
}

// Guards against failures that a retry could have hidden: of three VMs one has
// lost its upstream and one its node, and all idempotent calls must still
// succeed.
Test(call_guarantees, idempotent_calls_are_retried_on_another_upstream) {
  LocalFleet fleet(ShopFleetSpec(3));
  cr_assert(fleet.WaitUntilReady());
  fleet.vm(1).upstream->Signal(SIGKILL);
  fleet.vm(2).node->Signal(SIGKILL);
  for (int i = 0; i < 30; ++i) {
    cr_expect_eq(SendRead(fleet, "r" + std::to_string(i), "sleep_ms=1").status,
                 200U);
  }
}

// Guards against a slot that stays occupied after its call was ended by the
// deadline.
Test(call_guarantees, deadline_ends_a_call_and_releases_its_slot) {
  LocalFleet fleet(ShopFleetSpec(1));
  cr_assert(fleet.WaitUntilReady());
  ExpectUnknown(SendRead(fleet, "slow", "sleep_ms=3000"), "deadline_unknown");
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.running") == 0; },
      std::chrono::seconds(2)));
  cr_expect_eq(RunCount(fleet, "slow"), 1U);
}

// Guards against a queued call that is started after its deadline, or refused
// as unknown although it can't have run. The only slot is occupied for longer
// than the deadline.
Test(call_guarantees, queued_calls_past_their_deadline_are_refused_as_not_run) {
  FleetSpec spec = ShopFleetSpec(1);
  spec.vms[0].slots = 1;
  spec.service_options["shop"] = R"({"queue_limit_ms": 60000})";
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  std::thread first([&] { SendOrder(fleet, "first", "sleep_ms=1800"); });
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.running") == 1; },
      std::chrono::seconds(5)));
  const auto reply = SendOrder(fleet, "second", "sleep_ms=1");
  cr_expect_eq(reply.Field("yuccamast-reason"), "deadline_not_run", "%s",
               reply.raw.c_str());
  cr_expect_eq(reply.Field("yuccamast-outcome"), "not-run");
  first.join();
  cr_expect_eq(RunCount(fleet, "second"), 0U);
}

// Guards against a queue place or a slot that stays occupied after its caller
// closed the connection, by FIN while queued or by RST while running.
Test(call_guarantees, caller_disconnect_releases_queue_place_and_slot) {
  FleetSpec spec = ShopFleetSpec(1);
  spec.vms[0].slots = 1;
  spec.service_options["shop"] = R"({"queue_limit_ms": 60000})";
  spec.config_files[0].second = R"({"rules": {"read": {"service": "shop",
      "path": "/read/**", "idempotent": true, "deadline_ms": 60000}}})";
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  RawConnection running(fleet.vm(0).caller_port);
  RawConnection queued(fleet.vm(0).caller_port);
  const std::string head = " HTTP/1.1\r\nHost: t\r\n\r\n";
  running.Send("GET /read/1?sleep_ms=30000" + head);
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.running") == 1; },
      std::chrono::seconds(5)));
  queued.Send("GET /read/2?sleep_ms=30000" + head);
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.queued") == 1; },
      std::chrono::seconds(5)));
  queued.Close();
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.queued") == 0; },
      std::chrono::seconds(5)));
  running.Close(true);
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.running") == 0; },
      std::chrono::seconds(5)));
}

// Guards against a failure of calls that an overloaded upstream sheds. Its
// reply proves that the call didn't run, so that another upstream may be tried
// even if the call isn't idempotent; it must run exactly once.
Test(call_guarantees, shed_call_is_retried_elsewhere_even_if_not_idempotent) {
  LocalFleet fleet(ShopFleetSpec(2));
  cr_assert(fleet.WaitUntilReady());
  SendRequest(fleet.vm(0).upstream_port, "GET", "/_standin/set?shedding=1");
  for (int i = 0; i < 10; ++i) {
    const std::string id = "s" + std::to_string(i);
    cr_expect_eq(SendOrder(fleet, id, "sleep_ms=1").status, 200U);
    cr_expect_eq(RunCount(fleet, id), 1U);
  }
}

// Guards against calls that fail, run twice or get a wrong reply because a node
// is stopped gracefully under load.
Test(call_guarantees, graceful_stop_fails_no_call) {
  FleetSpec spec = ShopFleetSpec(3);
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 500}}});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  bench::LoadPlan plan;
  plan.entries = {fleet.vm(0).caller_port, fleet.vm(1).caller_port};
  plan.rate = 300;
  plan.seconds = 4;
  plan.mix = {{"read", "GET", "/read/1", 1, true, 0},
              {"order", "POST", "/order?sleep_ms=30", 1, false, 50}};
  std::vector<bench::RequestRecord> records;
  std::thread load([&] { records = bench::RunLoad(plan); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.vm(2).node->Signal(SIGTERM);
  const auto code = fleet.vm(2).node->Wait(std::chrono::seconds(10));
  load.join();
  cr_expect_eq(code.value_or(-1), 0);
  for (const auto& record : records) {
    cr_expect(record.outcome == bench::Outcome::kAnswered, "%s %s",
              record.id.c_str(), record.reason.c_str());
  }
  const auto ledger_check =
      bench::CheckAgainstLedgers(plan, records, fleet.ReadLedgers());
  cr_expect_eq(
      ledger_check.wrong + ledger_check.double_runs + ledger_check.missing_runs,
      0U);
}

// Guards against a stopping node that refuses calls which would be over before
// its process ends, although no other upstream could take them.
Test(call_guarantees, stopping_node_serves_calls_that_end_before_its_exit) {
  FleetSpec spec = ShopFleetSpec(1);
  spec.settings.push_back({"stop", JsonValue::Object{{"admit_ms", 3000},
                                                     {"announce_ms", 4000},
                                                     {"drain_ms", 2000}}});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  fleet.vm(0).node->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  // The only upstream of the fleet is beside the stopping node.
  cr_expect_eq(SendOrder(fleet, "in-time", "sleep_ms=50").status, 200U);
  cr_expect_eq(RunCount(fleet, "in-time"), 1U);
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(10)).value_or(-1),
               0);
}

// Guards against control pages that can't be read under overload, when they are
// needed most: all slots are occupied and calls are queued.
Test(call_guarantees, dump_and_metrics_are_served_while_all_slots_are_busy) {
  FleetSpec spec = ShopFleetSpec(1);
  spec.vms[0].slots = 2;
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  std::vector<std::thread> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back([&, i] {
      SendOrder(fleet, "busy" + std::to_string(i), "sleep_ms=700");
    });
  }
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntByPath(fleet.ReadDump(0), "exit.running") == 2; },
      std::chrono::seconds(5)));
  cr_expect_eq(SendRequest(fleet.vm(0).control_port, "GET", "/metrics").status,
               200U);
  for (auto& caller : callers) {
    caller.join();
  }
}

// Guards against a return to an older configuration, and against the use of an
// invalid one. After revision 5 was accepted, the configuration service serves
// revision 1 again, and then revision 6, which has an error and must be
// refused.
Test(call_guarantees, accepted_configuration_is_never_reverted) {
  LocalFleet fleet(ShopFleetSpec(3));
  cr_assert(fleet.WaitUntilReady());
  const auto all_at = [&](std::int64_t revision) {
    return LocalFleet::WaitFor(
        [&] {
          for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (IntByPath(fleet.ReadDump(i), "config.revision") != revision) {
              return false;
            }
          }
          return true;
        },
        std::chrono::seconds(10));
  };
  fleet.Publish(5, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_expect(all_at(5));
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?serve=1");
  fleet.Publish(6, {{"30.json", R"({"rules": {"read": {"wait": 1}}})"}});
  std::this_thread::sleep_for(std::chrono::seconds(1));
  cr_expect(all_at(5));
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?serve=0");
  cr_expect(LocalFleet::WaitFor(
      [&] {
        return IntByPath(fleet.ReadDump(0), "config.refused_revision") == 6;
      },
      std::chrono::seconds(15)));
  cr_expect(all_at(5));
}
