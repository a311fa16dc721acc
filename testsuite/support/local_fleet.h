#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/process.h"
#include "support/raw_http.h"
#include "yuccamast/json_value.h"

/// \file local_fleet.h
/// Fixture that runs a small fleet as processes on loopback.
///
/// A fleet consists of one platform stand-in and, for each VM, a node and
/// optionally an upstream stand-in. On request a relay is put before each
/// node's inner port, before each upstream, or between each node and the
/// platform, so that a test can inject network faults. All ports are free ports
/// of 127.0.0.1, chosen when the fleet starts. Tests drive the processes
/// through their control ports and read the state of a node from its dump.
///
/// The settings files, the configuration, and a log for each process are in a
/// temporary folder, which is removed with the fleet unless the environment
/// variable YUCCAMAST_KEEP is set.

namespace yuccamast::testing {

/// Parameters of one VM: a node and the upstream stand-in beside it.
struct VmSpec {
  std::string vm;        ///< Id in the VM list.
  std::string upstream;  ///< Name; empty: a node without an upstream.
  std::string service;   ///< Service of the upstream.
  std::string data_centre = "dc1";
  std::string region = "r1";
  unsigned slots = 10;    ///< Of the upstream, also in the configuration.
  double service_ms = 5;  ///< Mean service time of the upstream.
};

/// Parameters of a fleet.
struct FleetSpec {
  std::vector<VmSpec> vms;
  /// Further configuration files as pairs of name and JSON text. The fixture
  /// itself writes `10-base.json` with the services and upstreams.
  std::vector<std::pair<std::string, std::string>> config_files;
  /// Members to add to each node's settings; a member of the same key that the
  /// fixture sets is replaced.
  JsonValue::Object settings;
  /// Options of services in the configuration: JSON text by service name.
  std::map<std::string, std::string> service_options;
  bool relay_inner = false;     ///< A relay before each inner port.
  bool relay_upstream = false;  ///< A relay before each upstream.
  bool relay_platform = false;  ///< A relay between each node and the platform.
  std::uint64_t inner_delay_us = 0;  ///< One-way delay of the inner relays.
  bool use_test_nodes = false;       ///< Run yuccamast-testnode.
};

/// Ports and processes of one VM. Pointers to processes that the VM doesn't
/// have are null; a process that has ended stays until it is started again.
struct LocalVm {
  VmSpec spec;
  std::uint16_t caller_port = 0;
  std::uint16_t inner_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t upstream_port = 0;
  std::uint16_t inner_relay_port = 0;
  std::uint16_t inner_relay_control_port = 0;
  std::uint16_t upstream_relay_port = 0;
  std::uint16_t upstream_relay_control_port = 0;
  std::uint16_t platform_relay_port = 0;
  std::uint16_t platform_relay_control_port = 0;
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> upstream;
  std::unique_ptr<Process> inner_relay;
  std::unique_ptr<Process> upstream_relay;
  std::unique_ptr<Process> platform_relay;
};

/// Starts all processes on construction and kills them on destruction. Not
/// thread-safe, but several fleets may run at once. The thread that starts a
/// process must outlive it, see `Process`.
class LocalFleet {
 public:
  /// Starts the processes and returns without waiting for them.
  explicit LocalFleet(FleetSpec spec);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Waits until every upstream answers, and the health page of every running
  /// node answers 200, that is, the node has the configuration and the VM list.
  /// Returns false if the time runs out.
  bool WaitUntilReady(
      std::chrono::milliseconds timeout = std::chrono::seconds(15));

  LocalVm& vm(std::size_t index) { return m_vms[index]; }
  std::size_t size() const { return m_vms.size(); }
  std::uint16_t platform_port() const { return m_platform_port; }
  std::unique_ptr<Process>& platform() { return m_platform; }
  /// Temporary folder with the settings files and `VM.log` of each node.
  const std::string& folder() const { return m_folder; }

  // Each starts the process anew: one that still runs is killed, and what it
  // held, such as the ledger of an upstream, is lost.
  void StartNode(std::size_t index);
  void StartUpstream(std::size_t index);
  void StartPlatform();

  /// Publishes the base file, the files of the spec, and `extra` as `revision`.
  /// The fleet starts with revision 1.
  void Publish(std::uint64_t revision,
               const std::vector<std::pair<std::string, std::string>>& extra);

  /// Publishes a VM list without the VMs in `omitted`, in which those in
  /// `leaving` are marked as leaving. Both hold VM ids. `evacuated` holds the
  /// names of emptied data centres. Each call raises the revision of the list
  /// by 1.
  void PublishVmList(const std::vector<std::string>& omitted,
                     const std::vector<std::string>& leaving,
                     const std::vector<std::string>& evacuated = {});

  /// Returns the dump of a node, or null if it can't be read or parsed.
  JsonValue ReadDump(std::size_t index);

  /// Returns how often each request id ran, summed over the ledgers of all
  /// upstreams. An upstream that can't be read counts as empty.
  std::map<std::string, unsigned> ReadLedgers();

  /// Ports by VM: those at which the entries take calls, and those of the
  /// upstreams themselves (also of VMs without an upstream).
  std::vector<std::uint16_t> EntryPorts() const;
  std::vector<std::uint16_t> UpstreamPorts() const;

  /// Polls `condition` every 10 ms until it holds. Returns false if the time
  /// runs out first.
  static bool WaitFor(const std::function<bool()>& condition,
                      std::chrono::milliseconds timeout);

 private:
  std::string BaseConfigText() const;
  std::string VmListText(const std::vector<std::string>& omitted,
                         const std::vector<std::string>& leaving,
                         const std::vector<std::string>& evacuated = {}) const;
  void WriteFile(const std::string& name, const std::string& text) const;
  void AllocatePorts();
  void StartRelays(LocalVm& vm);
  std::string SettingsText(const LocalVm& vm) const;

  FleetSpec m_spec;
  std::string m_folder;
  std::vector<LocalVm> m_vms;
  std::uint16_t m_platform_port = 0;
  std::uint64_t m_vms_revision = 1;
  std::unique_ptr<Process> m_platform;
};

/// Returns the value at a path of object keys such as `config.revision`, or
/// null if there is none.
const JsonValue* FindByPath(const JsonValue& value, const std::string& path);

/// Returns the integer at such a path, or -1 if there is none.
std::int64_t IntByPath(const JsonValue& value, const std::string& path);

}  // namespace yuccamast::testing
