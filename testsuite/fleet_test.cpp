#include <criterion/criterion.h>

#include <csignal>
#include <fstream>
#include <random>
#include <thread>

#include "support/local_fleet.h"

/// System tests of membership and of the distribution of the configuration, on
/// fleets of 3 to 10 nodes.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT
using std::chrono::seconds;

namespace {

/// `count` VMs of one service in two data centres, with a short graceful stop.
/// The last of the settings is `stop`.
FleetSpec SmallFleetSpec(std::size_t count) {
  FleetSpec spec;
  for (std::size_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    spec.vms.push_back(
        {"vm-" + number, "shop-" + number, "shop", i % 2 == 0 ? "dc1" : "dc2"});
  }
  spec.config_files.push_back({"20-rules.json",
                               R"({"rules": {"read": {"service": "shop",
                           "path": "/read/**", "idempotent": true}}})"});
  spec.settings.push_back({"entry_threads", 1});
  spec.settings.push_back({"stop", JsonValue::Object{{"announce_ms", 200}}});
  return spec;
}

/// Returns a field of a member in the dump of the node `viewer`, as text, or ""
/// if it doesn't know the member.
std::string MemberField(LocalFleet& fleet,
                        std::size_t viewer,
                        const std::string& vm,
                        const std::string& key) {
  const JsonValue dump = fleet.ReadDump(viewer);
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

/// The nodes that read from the platform.
std::vector<std::size_t> Readers(LocalFleet& fleet) {
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const JsonValue dump = fleet.ReadDump(i);
    const JsonValue* reads = FindByPath(dump, "config.reads_service");
    if (reads != nullptr && *reads->AsBool()) {
      readers.push_back(i);
    }
  }
  return readers;
}

/// A configuration file with `count` prefix rules, whose names and prefixes do
/// not resemble each other. The rules numbered below `urgent` have urgency 1.
std::string ManyRulesFile(std::size_t count, std::size_t urgent) {
  std::mt19937 random(1);
  JsonValue::Object rules;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = std::to_string(random()) + "-" + std::to_string(i);
    rules.push_back(
        {"r-" + name, JsonValue::Object{{"host", "shop.example"},
                                        {"prefix", "/" + name + "/"},
                                        {"service", "shop"},
                                        {"idempotent", true},
                                        {"deadline_ms", 1500},
                                        {"objective_ms", 600},
                                        {"urgency", i < urgent ? 1 : 2},
                                        {"max_upstreams", 2}}});
  }
  return WriteJson(JsonValue::Object{{"rules", std::move(rules)}});
}

/// Bytes of documents that all nodes have sent to each other so far.
std::int64_t DocumentBytesSent(LocalFleet& fleet) {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    sum += IntByPath(fleet.ReadDump(i), "metrics.counters.document_bytes_sent");
  }
  return sum;
}

/// Waits until all running nodes use this revision of the configuration.
/// Returns false if the time runs out.
bool AllNodesAtRevision(LocalFleet& fleet,
                        std::int64_t revision,
                        seconds timeout) {
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (fleet.vm(i).node->IsRunning() &&
              IntByPath(fleet.ReadDump(i), "config.revision") != revision) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

/// Waits until all nodes but the member itself see this value in the field
/// `key` of the member. Returns false if the time runs out.
bool AllOthersSee(LocalFleet& fleet,
                  std::size_t member_index,
                  const std::string& key,
                  const std::string& value,
                  seconds timeout) {
  const std::string vm = fleet.vm(member_index).spec.vm;
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (i != member_index && MemberField(fleet, i, vm, key) != value) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

}  // namespace

// Guards against a node that some members still take for live after it was
// killed, or for gone after it was started again.
Test(fleet, killed_and_restarted_node_is_detected_by_all_nodes) {
  LocalFleet fleet(SmallFleetSpec(6));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(AllOthersSee(fleet, 3, "state", "live", seconds(10)));
  fleet.vm(3).node->Signal(SIGKILL);
  cr_expect(AllOthersSee(fleet, 3, "state", "gone", seconds(10)));
  fleet.StartNode(3);
  cr_expect(AllOthersSee(fleet, 3, "state", "live", seconds(10)));
}

// Guards against a stopping node that ends before all others know that it is
// leaving, so that they would still send it calls.
Test(fleet, graceful_stop_is_announced_to_all_nodes_before_exit) {
  FleetSpec spec = SmallFleetSpec(6);
  spec.settings.back().value =
      JsonValue::Object{{"announce_ms", 5000}, {"drain_ms", 1000}};
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(AllOthersSee(fleet, 2, "state", "live", seconds(10)));
  fleet.vm(2).node->Signal(SIGTERM);
  cr_expect(AllOthersSee(fleet, 2, "leaving", "true", seconds(4)));
  cr_expect(fleet.vm(2).node->IsRunning());
}

// Guards against load on the platform that grows with the fleet: of 10 nodes,
// just 4 may go on reading the configuration; the others get it from them.
Test(fleet, only_four_nodes_keep_reading_the_platform) {
  LocalFleet fleet(SmallFleetSpec(10));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(LocalFleet::WaitFor([&] { return Readers(fleet).size() == 4; },
                                seconds(20)));
}

// Guards against nodes that act on an old configuration although the platform
// answers them: it turns away just the nodes that read for all others.
Test(fleet, change_reaches_all_nodes_while_readers_are_turned_away) {
  FleetSpec spec = SmallFleetSpec(10);
  spec.relay_platform = true;
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  std::vector<std::size_t> readers;
  cr_assert(LocalFleet::WaitFor(
      [&] {
        readers = Readers(fleet);
        return readers.size() == 4;
      },
      seconds(20)));
  std::ranges::for_each(readers, [&](std::size_t index) {
    fleet.vm(index).platform_relay.reset();
  });
  fleet.Publish(5, {});
  cr_expect(AllNodesAtRevision(fleet, 5, seconds(10)));
}

// Guards against a rolling restart that brings back an old configuration: while
// the configuration service returns revision 1 again, each node is restarted
// and must take revision 5 from its peers without ever using revision 1.
Test(fleet, rolling_restart_with_stale_service_does_not_revert_config) {
  LocalFleet fleet(SmallFleetSpec(6));
  cr_assert(fleet.WaitUntilReady());
  fleet.Publish(5, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_assert(AllNodesAtRevision(fleet, 5, seconds(10)));
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?serve=1");
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.vm(i).node->Signal(SIGTERM);
    cr_assert(fleet.vm(i).node->Wait(seconds(10)).has_value());
    fleet.StartNode(i);
    cr_assert(LocalFleet::WaitFor(
        [&] {
          const auto revision = IntByPath(fleet.ReadDump(i), "config.revision");
          cr_assert_neq(revision, 1, "node %zu reverted to revision 1", i);
          return revision == 5;
        },
        seconds(10)));
  }
}

// Guards against nodes that stay on different revisions when the configuration
// service gives readers different ones (every second read gets the oldest).
Test(fleet, readers_with_diverging_replies_converge_on_newest_revision) {
  LocalFleet fleet(SmallFleetSpec(6));
  cr_assert(fleet.WaitUntilReady());
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?split=1");
  fleet.Publish(7, {{"30.json", R"({"rules": {"read": {"weight": "long"}}})"}});
  cr_expect(AllNodesAtRevision(fleet, 7, seconds(10)));
}

// Guards against an outage of the platform that becomes an outage of the fleet.
// First an empty VM list is published, which must not remove live members; then
// the platform becomes unreachable while a node stops, and calls must still
// succeed.
Test(fleet, empty_vm_list_and_platform_outage_do_not_fail_calls) {
  LocalFleet fleet(SmallFleetSpec(6));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(AllOthersSee(fleet, 3, "state", "live", seconds(10)));
  SendRequest(fleet.platform_port(), "POST", "/_standin/vms",
              R"({"revision": 90, "vms": []})");
  std::this_thread::sleep_for(seconds(5));
  cr_expect_eq(SendRequest(fleet.vm(0).caller_port, "GET", "/read/1").status,
               200U);
  fleet.vm(1).node->Signal(SIGTERM);
  SendRequest(fleet.platform_port(), "GET", "/_standin/set?down=1");
  fleet.vm(1).node->Wait(seconds(10));
  for (int i = 0; i < 20; ++i) {
    cr_expect_eq(SendRequest(fleet.vm(0).caller_port, "GET", "/read/1").status,
                 200U);
  }
}

// Guards against a node that, after a pause, routes by the configuration from
// before the pause. The rule is removed during the pause: a call that waits at
// the node's socket meanwhile must be refused, not run.
Test(fleet, resumed_node_does_not_route_by_a_stale_configuration) {
  LocalFleet fleet(SmallFleetSpec(5));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(AllOthersSee(fleet, 0, "state", "live", seconds(10)));
  fleet.vm(0).node->Signal(SIGSTOP);
  fleet.Publish(4, {{"30.json", R"({"rules": {"read": null}})"}});
  std::this_thread::sleep_for(seconds(5));
  RawConnection caller(fleet.vm(0).caller_port);
  caller.Send("GET /read/1 HTTP/1.1\r\nHost: t\r\n\r\n");
  fleet.vm(0).node->Signal(SIGCONT);
  const ReceivedReply reply = caller.ReadReply(seconds(10));
  const std::string reason = reply.Field("yuccamast-reason");
  cr_expect(reason == "paused" || reason == "no_rule", "%s", reply.raw.c_str());
  cr_expect(LocalFleet::WaitFor(
      [&] {
        return SendRequest(fleet.vm(0).caller_port, "GET", "/read/1")
                   .Field("yuccamast-reason") == "no_rule";
      },
      seconds(5)));
  cr_expect(fleet.ReadLedgers().empty());
}

// Guards against accepting control messages of a node that has another shared
// key: a node takes the place of vm-2 with a wrong key. The others must refuse
// its messages and see vm-2 as gone.
Test(fleet, node_with_wrong_shared_key_is_refused) {
  FleetSpec spec = SmallFleetSpec(3);
  spec.settings.push_back({"shared_key", "right"});
  LocalFleet fleet(std::move(spec));
  cr_assert(fleet.WaitUntilReady());
  cr_expect(AllOthersSee(fleet, 0, "state", "live", seconds(10)));
  const auto refused = [&] {
    return IntByPath(fleet.ReadDump(0),
                     "metrics.counters.control_messages_refused");
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
  cr_expect(AllOthersSee(fleet, 1, "state", "gone", seconds(15)));
  cr_expect_gt(refused(), before);
}

// Guards against a change that comes into force late because every node fetches
// the whole configuration over the thin links of the few nodes that have it:
// neither a change of most rules nor one of a single rule may cost a node more
// than its share of the network for control in the time that a change may take.
Test(fleet, change_of_a_large_configuration_fits_the_control_budget) {
  constexpr std::int64_t kControlBytesPerSecond = 21'000;
  constexpr std::int64_t kSecondsUntilInForce = 5;
  constexpr std::size_t kRules = 2800;
  constexpr std::size_t kNodes = 10;
  const std::int64_t budget =
      kNodes * kControlBytesPerSecond * kSecondsUntilInForce;
  LocalFleet fleet(SmallFleetSpec(kNodes));
  cr_assert(fleet.WaitUntilReady());
  std::int64_t before = DocumentBytesSent(fleet);
  fleet.Publish(2, {{"30.json", ManyRulesFile(kRules, 0)}});
  cr_assert(AllNodesAtRevision(fleet, 2, seconds(20)));
  const std::int64_t many = DocumentBytesSent(fleet) - before;
  cr_expect_lt(many, budget, "%ld bytes for %zu new rules", many, kRules);
  before = DocumentBytesSent(fleet);
  fleet.Publish(3, {{"30.json", ManyRulesFile(kRules, 1)}});
  cr_assert(AllNodesAtRevision(fleet, 3, seconds(20)));
  const std::int64_t one = DocumentBytesSent(fleet) - before;
  cr_expect_lt(one, budget, "%ld bytes for one changed rule", one);
}
