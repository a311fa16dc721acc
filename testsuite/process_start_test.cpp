#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
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

/// A socket that listens on, or for UDP is bound to, a port of 127.0.0.1.
class PortHolder {
 public:
  PortHolder(std::uint16_t port, int type)
      : m_fd(::socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(::bind(m_fd, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)),
                 0);
    if (type == SOCK_STREAM) {
      cr_assert_eq(::listen(m_fd, 1), 0);
    }
  }
  ~PortHolder() { ::close(m_fd); }
  PortHolder(const PortHolder&) = delete;
  PortHolder& operator=(const PortHolder&) = delete;

 private:
  const int m_fd;
};

void EndNode(LocalFleet& fleet) {
  fleet.vm(0).node->Signal(SIGKILL);
  cr_assert(fleet.vm(0).node->Wait(seconds(5)).has_value());
}

}  // namespace

// Guards against a node that does not start because another process, such as
// its predecessor that is about to end, still holds one of its ports.
Test(process_start, port_in_use_is_waited_for) {
  LocalFleet fleet(OneNodeSpec());
  cr_assert(fleet.WaitUntilReady());
  const LocalVm& vm = fleet.vm(0);
  const std::vector<std::pair<std::uint16_t, int>> held = {
      {vm.caller_port, SOCK_STREAM},
      {vm.inner_port, SOCK_STREAM},
      {vm.inner_port, SOCK_DGRAM},
      {vm.control_port, SOCK_STREAM}};
  for (const auto& [port, type] : held) {
    EndNode(fleet);
    {
      const PortHolder holder(port, type);
      fleet.StartNode(0);
      std::this_thread::sleep_for(milliseconds(500));
    }
    cr_expect(fleet.WaitUntilReady(), "port %u, type %d", port, type);
    cr_expect(fleet.vm(0).node->IsRunning(), "port %u, type %d: exit status %d",
              port, type, fleet.vm(0).node->Wait(milliseconds(0)).value_or(-1));
  }
}

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

// Guards against a node that a reload of its settings ends, since the signal
// comes while it starts. It reads its settings from a FIFO here, so that the
// test knows how far it is.
Test(process_start, sighup_before_the_settings_are_read_is_harmless) {
  LocalFleet fleet(OneNodeSpec());
  cr_assert(fleet.WaitUntilReady());
  EndNode(fleet);
  const std::string fifo = fleet.folder() + "/settings.fifo";
  cr_assert_eq(::mkfifo(fifo.c_str(), 0600), 0);
  Process node({YUCCAMAST_BINARY, "node", "--settings", fifo},
               fleet.folder() + "/fifo.log");
  int writer = -1;
  cr_assert(LocalFleet::WaitFor(
      [&] {
        // Succeeds once the node opens the FIFO.
        writer = ::open(fifo.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return writer >= 0;
      },
      seconds(5)));
  node.Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(100));
  ::close(writer);
  // Without any settings it reports that and ends with code 1.
  cr_expect_eq(node.Wait(seconds(5)).value_or(-1), 1);
}
