#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include "support/local_fleet.h"

/// System tests of nodes as processes of a real system: their addresses, their
/// log and signals while they start.

using namespace yuccamast;           // NOLINT
using namespace yuccamast::testing;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FleetSpec OneNodeSpec() {
  FleetSpec spec;
  spec.vms.push_back({"vm-1", "shop-1", "shop"});
  spec.config_files.push_back({"20-rules.json",
                               R"({"rules": {"read": {"service": "shop",
                           "path": "/read/**", "idempotent": true}}})"});
  return spec;
}

void EndNode(LocalFleet& fleet) {
  fleet.vm(0).node->Signal(SIGKILL);
  cr_assert(fleet.vm(0).node->Wait(seconds(5)).has_value());
}

}  // namespace

// Guards against a node that ends when the reader of its log does.
Test(process_start, node_survives_the_reader_of_its_log) {
  LocalFleet fleet(OneNodeSpec());
  cr_assert(fleet.WaitUntilReady());
  EndNode(fleet);
  const std::string log = fleet.folder() + "/vm-1.log";
  std::filesystem::remove(log);
  cr_assert_eq(::mkfifo(log.c_str(), 0600), 0);
  const int reader = ::open(log.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  fleet.StartNode(0);
  cr_assert(fleet.WaitUntilReady());
  ::close(reader);
  fleet.vm(0).node->Signal(SIGHUP);  // Logged as `settings_reloaded`.
  std::this_thread::sleep_for(milliseconds(500));
  cr_expect(fleet.vm(0).node->IsRunning());
  cr_expect_eq(SendRequest(fleet.vm(0).control_port, "GET", "/health").status,
               200U);
}
