#include <criterion/criterion.h>

#include <csignal>
#include <thread>

#include "bench/load.h"
#include "support/local_fleet.h"

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

const std::string kRules = R"({"rules": {
  "read": {"service": "shop", "method": "GET", "path": "/read/**",
           "idempotent": true, "deadline_ms": 1000},
  "order": {"service": "shop", "method": "POST", "path": "/order",
            "deadline_ms": 1000}}})";

FleetSpec Shop(std::size_t count) {
  FleetSpec spec;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    spec.vms.push_back({"vm-" + number, "shop-" + number, "shop"});
  }
  spec.files.push_back({"20-rules.json", kRules});
  return spec;
}

HttpAnswer Order(LocalFleet& fleet,
                 const std::string& id,
                 const std::string& query,
                 std::size_t entry = 0) {
  return Request(fleet.vm(entry).caller_port, "POST", "/order?" + query, "data",
                 "X-Load-Id: " + id + "\r\n");
}

HttpAnswer Read(LocalFleet& fleet,
                const std::string& id,
                const std::string& query) {
  return Request(fleet.vm(0).caller_port, "GET", "/read/1?" + query, "",
                 "X-Load-Id: " + id + "\r\n");
}

void ExpectUnknown(const HttpAnswer& answer, const std::string& reason) {
  cr_expect(answer.whole);
  cr_expect_eq(answer.Field("yuccamast-outcome"), "unknown", "%s",
               answer.raw.c_str());
  cr_expect_eq(answer.Field("yuccamast-reason"), reason, "%s",
               answer.raw.c_str());
}

unsigned Runs(LocalFleet& fleet, const std::string& id) {
  return fleet.Ledger()[id];
}

}  // namespace

Test(promise, a_post_on_a_dead_kept_connection_is_never_sent_again) {
  LocalFleet fleet(Shop(2));
  cr_assert(fleet.WaitReady());
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(Order(fleet, "warm" + std::to_string(i), "sleep_ms=1").status,
                 200U);
  }
  ExpectUnknown(Order(fleet, "a", "fail=close"), "upstream_lost");
  ExpectUnknown(Order(fleet, "b", "fail=reset"), "upstream_lost");
  cr_expect_eq(Runs(fleet, "a"), 1U);
  cr_expect_eq(Runs(fleet, "b"), 1U);
}

Test(promise, a_reply_cut_at_any_byte_is_never_passed_on) {
  LocalFleet fleet(Shop(1));
  cr_assert(fleet.WaitReady());
  const std::size_t whole = 140;  // Beyond the head, within the body.
  for (std::size_t cut = 0; cut <= whole; cut += 7) {
    const std::string id = "cut" + std::to_string(cut);
    const auto answer =
        Order(fleet, id, "size=200&sleep_ms=0&cut=" + std::to_string(cut));
    cr_expect_eq(answer.Field("yuccamast-outcome"), "unknown", "at %zu: %s",
                 cut, answer.raw.c_str());
    cr_expect_eq(Runs(fleet, id), 1U);
  }
}

Test(promise, replies_without_a_proven_end_are_refused) {
  LocalFleet fleet(Shop(1));
  cr_assert(fleet.WaitReady());
  ExpectUnknown(Order(fleet, "a", "fail=no_length"), "reply_incomplete");
  ExpectUnknown(Order(fleet, "b", "fail=bad_length"), "reply_incomplete");
  ExpectUnknown(Order(fleet, "c", "fail=cut_chunk"), "reply_incomplete");
  const auto chunked = Order(fleet, "d", "fail=chunked");
  cr_expect_eq(chunked.status, 200U);
  cr_expect(chunked.body.starts_with("id=d "));
  cr_expect(chunked.body.ends_with("END"));
}

Test(promise, idempotent_calls_are_retried_elsewhere) {
  LocalFleet fleet(Shop(3));
  cr_assert(fleet.WaitReady());
  fleet.vm(1).upstream->Signal(SIGKILL);
  fleet.vm(2).node->Signal(SIGKILL);
  for (int i = 0; i < 30; ++i) {
    cr_expect_eq(Read(fleet, "r" + std::to_string(i), "sleep_ms=1").status,
                 200U);
  }
}

Test(promise, the_deadline_ends_a_call_and_frees_the_slot) {
  LocalFleet fleet(Shop(1));
  cr_assert(fleet.WaitReady());
  ExpectUnknown(Read(fleet, "slow", "sleep_ms=3000"), "deadline_unknown");
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.running") == 0; },
      std::chrono::seconds(2)));
  cr_expect_eq(Runs(fleet, "slow"), 1U);
}

Test(promise, queued_calls_past_their_deadline_are_proven_not_run) {
  FleetSpec spec = Shop(1);
  spec.vms[0].slots = 1;
  spec.service_options["shop"] = R"({"queue_limit_ms": 60000})";
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  std::thread first([&] { Order(fleet, "first", "sleep_ms=1800"); });
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.running") == 1; },
      std::chrono::seconds(5)));
  const auto answer = Order(fleet, "second", "sleep_ms=1");
  cr_expect_eq(answer.Field("yuccamast-reason"), "deadline_not_run", "%s",
               answer.raw.c_str());
  cr_expect_eq(answer.Field("yuccamast-outcome"), "not-run");
  first.join();
  cr_expect_eq(Runs(fleet, "second"), 0U);
}

Test(promise, a_caller_that_leaves_frees_queue_place_and_slot) {
  FleetSpec spec = Shop(1);
  spec.vms[0].slots = 1;
  spec.service_options["shop"] = R"({"queue_limit_ms": 60000})";
  spec.files[0].second = R"({"rules": {"read": {"service": "shop",
      "path": "/read/**", "idempotent": true, "deadline_ms": 60000}}})";
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  RawConnection running(fleet.vm(0).caller_port);
  RawConnection queued(fleet.vm(0).caller_port);
  const std::string head = " HTTP/1.1\r\nHost: t\r\n\r\n";
  running.Send("GET /read/1?sleep_ms=30000" + head);
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.running") == 1; },
      std::chrono::seconds(5)));
  queued.Send("GET /read/2?sleep_ms=30000" + head);
  cr_assert(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.queued") == 1; },
      std::chrono::seconds(5)));
  queued.Close();
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.queued") == 0; },
      std::chrono::seconds(5)));
  running.Close(true);
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.running") == 0; },
      std::chrono::seconds(5)));
}

Test(promise, a_shed_call_moves_on_proof_even_if_non_idempotent) {
  LocalFleet fleet(Shop(2));
  cr_assert(fleet.WaitReady());
  Request(fleet.vm(0).upstream_port, "GET", "/_standin/set?shedding=1");
  for (int i = 0; i < 10; ++i) {
    const std::string id = "s" + std::to_string(i);
    cr_expect_eq(Order(fleet, id, "sleep_ms=1").status, 200U);
    cr_expect_eq(Runs(fleet, id), 1U);
  }
}

Test(promise, a_planned_stop_cuts_nothing) {
  FleetSpec spec = Shop(3);
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 500}}});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
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
  const auto verdict = bench::Judge(plan, records, fleet.Ledger());
  cr_expect_eq(verdict.wrong + verdict.double_runs + verdict.missing_runs, 0U);
}

Test(promise, a_stopping_node_still_serves_what_ends_before_it_does) {
  FleetSpec spec = Shop(1);
  spec.settings.push_back({"stop", JsonValue::Object{{"admit_ms", 3000},
                                                     {"announce_ms", 4000},
                                                     {"drain_ms", 2000}}});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  fleet.vm(0).node->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  // The only upstream is beside the node that stops.
  cr_expect_eq(Order(fleet, "in-time", "sleep_ms=50").status, 200U);
  cr_expect_eq(Runs(fleet, "in-time"), 1U);
  cr_expect_eq(fleet.vm(0).node->Wait(std::chrono::seconds(10)).value_or(-1),
               0);
}

Test(promise, dump_and_metrics_answer_while_all_slots_are_busy) {
  FleetSpec spec = Shop(1);
  spec.vms[0].slots = 2;
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  std::vector<std::thread> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(
        [&, i] { Order(fleet, "busy" + std::to_string(i), "sleep_ms=700"); });
  }
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "exit.running") == 2; },
      std::chrono::seconds(5)));
  cr_expect_eq(Request(fleet.vm(0).control_port, "GET", "/metrics").status,
               200U);
  for (auto& caller : callers) {
    caller.join();
  }
}

Test(promise, an_accepted_configuration_never_goes_back) {
  LocalFleet fleet(Shop(3));
  cr_assert(fleet.WaitReady());
  const auto all_at = [&](std::int64_t revision) {
    return LocalFleet::WaitFor(
        [&] {
          for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (IntAt(fleet.Dump(i), "config.revision") != revision) {
              return false;
            }
          }
          return true;
        },
        std::chrono::seconds(10));
  };
  fleet.Publish(5, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_expect(all_at(5));
  Request(fleet.platform_port(), "GET", "/_standin/set?serve=1");
  fleet.Publish(6, {{"30.json", R"({"rules": {"read": {"wait": 1}}})"}});
  std::this_thread::sleep_for(std::chrono::seconds(1));
  cr_expect(all_at(5));
  Request(fleet.platform_port(), "GET", "/_standin/set?serve=0");
  cr_expect(LocalFleet::WaitFor(
      [&] { return IntAt(fleet.Dump(0), "config.refused_revision") == 6; },
      std::chrono::seconds(15)));
  cr_expect(all_at(5));
}
