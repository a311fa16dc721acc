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
/// Nodes, upstream and platform stand-ins as processes on loopback.

namespace yuccamast::testing {

/// One VM of the fleet: an upstream stand-in and the node beside it.
struct VmSpec {
  std::string vm;
  std::string upstream;  ///< Empty: a node without an upstream.
  std::string service;
  std::string data_centre = "dc1";
  std::string region = "r1";
  unsigned slots = 10;
  double service_ms = 5;
};

struct FleetSpec {
  std::vector<VmSpec> vms;
  /// More configuration files, beside the one with services and upstreams.
  std::vector<std::pair<std::string, std::string>> files;
  /// Members of the nodes' settings that replace the fixture's own.
  JsonValue::Object settings;
  std::map<std::string, std::string> service_options;  ///< JSON by service.
  bool relay_inner = false;     ///< A fault relay before each inner port.
  bool relay_upstream = false;  ///< A fault relay before each upstream.
  std::uint64_t inner_delay_us = 0;
  bool test_nodes = false;  ///< Nodes that hold calls at steps on request.
};

/// What belongs to one VM.
struct LocalVm {
  VmSpec spec;
  std::uint16_t caller_port = 0;
  std::uint16_t inner_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t upstream_port = 0;
  std::uint16_t inner_relay_port = 0;
  std::uint16_t inner_relay_control = 0;
  std::uint16_t upstream_relay_port = 0;
  std::uint16_t upstream_relay_control = 0;
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> upstream;
  std::unique_ptr<Process> inner_relay;
  std::unique_ptr<Process> upstream_relay;
};

/// Starts on construction, ends all processes on destruction.
class LocalFleet {
 public:
  explicit LocalFleet(FleetSpec spec);
  ~LocalFleet();
  LocalFleet(const LocalFleet&) = delete;
  LocalFleet& operator=(const LocalFleet&) = delete;

  /// Waits until every node has the configuration and the VM list.
  bool WaitReady(std::chrono::milliseconds limit = std::chrono::seconds(15));

  LocalVm& vm(std::size_t index) { return m_vms[index]; }
  std::size_t size() const { return m_vms.size(); }
  std::uint16_t platform_port() const { return m_platform_port; }
  std::unique_ptr<Process>& platform() { return m_platform; }
  const std::string& folder() const { return m_folder; }

  void StartNode(std::size_t index);
  void StartUpstream(std::size_t index);
  void StartPlatform();

  /// Publishes the fixture's files plus `extra` under `revision`.
  void Publish(std::uint64_t revision,
               const std::vector<std::pair<std::string, std::string>>& extra);

  /// Publishes a VM list without the VMs in `without`, with `leaving` ones.
  void PublishVms(const std::vector<std::string>& without,
                  const std::vector<std::string>& leaving);

  /// A node's dump, parsed; null if it does not answer.
  JsonValue Dump(std::size_t index);

  /// Runs of each id, over all upstreams.
  std::map<std::string, unsigned> Ledger();

  /// Ports of all entries and of all upstreams.
  std::vector<std::uint16_t> EntryPorts() const;
  std::vector<std::uint16_t> UpstreamPorts() const;

  /// Waits until `condition` holds; false after the limit.
  static bool WaitFor(const std::function<bool()>& condition,
                      std::chrono::milliseconds limit);

 private:
  std::string BaseConfig() const;
  std::string VmListText(const std::vector<std::string>& without,
                         const std::vector<std::string>& leaving) const;
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

/// Looks a value up by a path such as `config.revision`; null if absent.
const JsonValue* At(const JsonValue& value, const std::string& path);
std::int64_t IntAt(const JsonValue& value, const std::string& path);

}  // namespace yuccamast::testing
