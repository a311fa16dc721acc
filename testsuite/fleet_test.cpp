#include <criterion/criterion.h>

#include <csignal>
#include <fstream>
#include <thread>

#include "support/local_fleet.h"

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT
using std::chrono::seconds;

namespace {

FleetSpec Small(std::size_t count) {
  FleetSpec spec;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    spec.vms.push_back(
        {"vm-" + number, "shop-" + number, "shop", i % 2 == 0 ? "dc1" : "dc2"});
  }
  spec.files.push_back({"20-rules.json",
                        R"({"rules": {"read": {"service": "shop",
                           "path": "/read/**", "idempotent": true}}})"});
  spec.settings.push_back({"entry_threads", 1});
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 200}}});
  return spec;
}

/// A member's field as `viewer` sees it, as text.
std::string MemberField(LocalFleet& fleet,
                        std::size_t viewer,
                        const std::string& vm,
                        const std::string& key) {
  const JsonValue dump = fleet.Dump(viewer);
  const JsonValue* members = dump.Find("members");
  if (members == nullptr || members->AsArray() == nullptr) {
    return "";
  }
  for (const JsonValue& member : *members->AsArray()) {
    if (member.Find("vm") != nullptr && *member.Find("vm")->AsString() == vm) {
      const JsonValue* value = member.Find(key);
      return value->AsString() != nullptr ? *value->AsString()
                                          : WriteJson(*value);
    }
  }
  return "";
}

bool AllAt(LocalFleet& fleet, std::int64_t revision, seconds limit) {
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (fleet.vm(i).node->Running() &&
              IntAt(fleet.Dump(i), "config.revision") != revision) {
            return false;
          }
        }
        return true;
      },
      limit);
}

bool EveryoneSees(LocalFleet& fleet,
                  std::size_t whom,
                  const std::string& key,
                  const std::string& value,
                  seconds limit) {
  const std::string vm = fleet.vm(whom).spec.vm;
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (i != whom && MemberField(fleet, i, vm, key) != value) {
            return false;
          }
        }
        return true;
      },
      limit);
}

}  // namespace

Test(fleet, a_killed_node_and_its_restart_are_seen_everywhere) {
  LocalFleet fleet(Small(6));
  cr_assert(fleet.WaitReady());
  cr_assert(EveryoneSees(fleet, 3, "state", "live", seconds(10)));
  fleet.vm(3).node->Signal(SIGKILL);
  cr_expect(EveryoneSees(fleet, 3, "state", "gone", seconds(10)));
  fleet.StartNode(3);
  cr_expect(EveryoneSees(fleet, 3, "state", "live", seconds(10)));
}

Test(fleet, a_planned_stop_is_announced_everywhere_before_it_ends) {
  FleetSpec spec = Small(6);
  spec.settings.back().value =
      JsonValue::Object{{"announce_ms", 5000}, {"drain_ms", 1000}};
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  cr_assert(EveryoneSees(fleet, 2, "state", "live", seconds(10)));
  fleet.vm(2).node->Signal(SIGTERM);
  cr_expect(EveryoneSees(fleet, 2, "leaving", "true", seconds(4)));
  cr_expect(fleet.vm(2).node->Running());
}

Test(fleet, only_readers_keep_reading_the_platform) {
  LocalFleet fleet(Small(10));
  cr_assert(fleet.WaitReady());
  cr_assert(LocalFleet::WaitFor(
      [&] {
        int readers = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          const JsonValue dump = fleet.Dump(i);
          const JsonValue* reads = At(dump, "config.reads_service");
          readers += reads != nullptr && *reads->AsBool() ? 1 : 0;
        }
        return readers == 4;
      },
      seconds(20)));
}

Test(fleet, replacing_every_node_while_the_service_is_stale_does_not_revert) {
  LocalFleet fleet(Small(6));
  cr_assert(fleet.WaitReady());
  fleet.Publish(5, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_assert(AllAt(fleet, 5, seconds(10)));
  Request(fleet.platform_port(), "GET", "/_standin/set?serve=1");
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.vm(i).node->Signal(SIGTERM);
    cr_assert(fleet.vm(i).node->Wait(seconds(10)).has_value());
    fleet.StartNode(i);
    cr_assert(LocalFleet::WaitFor(
        [&] {
          const auto revision = IntAt(fleet.Dump(i), "config.revision");
          cr_assert_neq(revision, 1, "node %zu went back", i);
          return revision == 5;
        },
        seconds(10)));
  }
}

Test(fleet, readers_that_are_answered_differently_settle_on_the_newest) {
  LocalFleet fleet(Small(6));
  cr_assert(fleet.WaitReady());
  Request(fleet.platform_port(), "GET", "/_standin/set?split=1");
  fleet.Publish(7, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_expect(AllAt(fleet, 7, seconds(10)));
}

Test(fleet, a_dead_service_and_a_short_list_do_not_drop_the_fleet) {
  LocalFleet fleet(Small(6));
  cr_assert(fleet.WaitReady());
  cr_assert(EveryoneSees(fleet, 3, "state", "live", seconds(10)));
  Request(fleet.platform_port(), "POST", "/_standin/vms",
          R"({"revision": 90, "vms": []})");
  std::this_thread::sleep_for(seconds(5));
  cr_expect_eq(Request(fleet.vm(0).caller_port, "GET", "/read/1").status, 200U);
  fleet.vm(1).node->Signal(SIGTERM);
  Request(fleet.platform_port(), "GET", "/_standin/set?down=1");
  fleet.vm(1).node->Wait(seconds(10));
  for (int i = 0; i < 20; ++i) {
    cr_expect_eq(Request(fleet.vm(0).caller_port, "GET", "/read/1").status,
                 200U);
  }
}

Test(fleet, a_paused_node_wakes_and_takes_the_new_revision_before_it_routes) {
  LocalFleet fleet(Small(5));
  cr_assert(fleet.WaitReady());
  cr_assert(EveryoneSees(fleet, 0, "state", "live", seconds(10)));
  fleet.vm(0).node->Signal(SIGSTOP);
  fleet.Publish(4, {{"30.json", R"({"rules": {"read": null}})"}});
  std::this_thread::sleep_for(seconds(5));
  RawConnection caller(fleet.vm(0).caller_port);
  caller.Send("GET /read/1 HTTP/1.1\r\nHost: t\r\n\r\n");
  fleet.vm(0).node->Signal(SIGCONT);
  const HttpAnswer answer = caller.Read(seconds(10));
  const std::string reason = answer.Field("yuccamast-reason");
  cr_expect(reason == "paused" || reason == "no_rule", "%s",
            answer.raw.c_str());
  cr_expect(LocalFleet::WaitFor(
      [&] {
        return Request(fleet.vm(0).caller_port, "GET", "/read/1")
                   .Field("yuccamast-reason") == "no_rule";
      },
      seconds(5)));
  cr_expect(fleet.Ledger().empty());
}

Test(fleet, a_wrong_key_is_refused_and_moves_nothing) {
  FleetSpec spec = Small(3);
  spec.settings.push_back({"shared_key", "right"});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitReady());
  cr_expect(EveryoneSees(fleet, 0, "state", "live", seconds(10)));
  const auto refused = [&] {
    return IntAt(fleet.Dump(0), "metrics.counters.control_messages_refused");
  };
  const std::int64_t before = refused();
  std::ifstream file(fleet.folder() + "/vm-2.json");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  text.replace(text.find("right"), 5, "wrong");
  std::ofstream(fleet.folder() + "/intruder.json") << text;
  fleet.vm(1).node->Signal(SIGKILL);
  fleet.vm(1).node->Wait(seconds(5));
  const Process intruder({YUCCAMAST_BINARY, "node", "--settings",
                          fleet.folder() + "/intruder.json"},
                         fleet.folder() + "/intruder.log");
  cr_expect(EveryoneSees(fleet, 1, "state", "gone", seconds(15)));
  cr_expect_gt(refused(), before);
}
