#include <criterion/criterion.h>

#include "support/local_fleet.h"

/// System tests of a platform that answers only some of the nodes.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT
using std::chrono::seconds;

namespace {

/// `count` nodes in two data centres, each with its own relay to the platform.
FleetSpec RelayedFleetSpec(std::size_t count) {
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
  spec.relay_platform = true;
  return spec;
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

/// Waits until just four nodes read, two in each data centre.
bool WaitForFourReaders(LocalFleet& fleet) {
  return LocalFleet::WaitFor([&] { return Readers(fleet).size() == 4; },
                             seconds(20));
}

bool AllAtRevision(LocalFleet& fleet, std::int64_t revision, seconds timeout) {
  return LocalFleet::WaitFor(
      [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (IntByPath(fleet.ReadDump(i), "config.revision") != revision) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

}  // namespace

// Guards against nodes that act on an old configuration although the platform
// answers them: it turns away just the nodes that read for all others.
Test(platform_access, change_reaches_all_nodes_while_readers_are_turned_away) {
  LocalFleet fleet(RelayedFleetSpec(10));
  cr_assert(fleet.WaitUntilReady());
  cr_assert(WaitForFourReaders(fleet));
  const std::vector<std::size_t> turned_away = Readers(fleet);
  std::ranges::for_each(turned_away, [&](std::size_t index) {
    fleet.vm(index).platform_relay.reset();
  });
  fleet.Publish(5, {});
  cr_expect(AllAtRevision(fleet, 5, seconds(10)));
}
