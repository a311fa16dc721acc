#include "support/local_fleet.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "source/published.h"

namespace yuccamast::testing {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Below the ports that Linux by default gives to outgoing connections (from
// 32768 on).
constexpr int kFirstPort = 10'000;
constexpr int kLastPort = 31'000;
/// Distance of the first ports of processes with consecutive ids.
constexpr int kPortStride = 211;

/// Whether a TCP socket can be bound to the port on loopback.
bool IsPortFree(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return is_free;
}

/// Returns the next free port of the range. Thread-safe. A port is not returned
/// again by this process until the whole range has been searched. Processes
/// start at different places of the range, so that test programs that run at
/// the same time rarely pick the same port.
std::uint16_t NextPort() {
  static std::mutex mutex;
  static int next = kFirstPort + (static_cast<int>(::getpid()) * kPortStride) %
                                     (kLastPort - kFirstPort);
  const std::lock_guard lock(mutex);
  while (true) {
    next = next >= kLastPort ? kFirstPort : next + 1;
    if (IsPortFree(static_cast<std::uint16_t>(next))) {
      return static_cast<std::uint16_t>(next);
    }
  }
}

/// Returns the path of a new temporary folder, or "" if none can be made.
std::string MakeTempFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "yuccamast-XXXXXX").string();
  return ::mkdtemp(name.data()) == nullptr ? "" : name;
}

const std::string kNodeProgram = YUCCAMAST_BINARY;
const std::string kStandInProgram = YUCCAMAST_STANDIN;
const std::string kTestNodeProgram = YUCCAMAST_TESTNODE;

std::vector<std::string> RelayCommand(std::uint16_t port,
                                      std::uint16_t target_port,
                                      std::uint16_t control,
                                      std::uint64_t delay_us) {
  return {kStandInProgram,
          "relay",
          "--port=" + std::to_string(port),
          "--to=" + std::to_string(target_port),
          "--control=" + std::to_string(control),
          "--delay-us=" + std::to_string(delay_us)};
}

}  // namespace

const JsonValue* FindByPath(const JsonValue& value, const std::string& path) {
  const JsonValue* current = &value;
  std::istringstream in(path);
  std::string key;
  while (current != nullptr && std::getline(in, key, '.')) {
    current = current->Find(key);
  }
  return current;
}

std::int64_t IntByPath(const JsonValue& value, const std::string& path) {
  const JsonValue* found = FindByPath(value, path);
  return found == nullptr || found->AsInt() == nullptr ? -1 : *found->AsInt();
}

LocalFleet::LocalFleet(FleetSpec spec)
    : m_spec(std::move(spec)), m_folder(MakeTempFolder()) {
  AllocatePorts();
  std::filesystem::create_directory(m_folder + "/config");
  WriteFile("config/10-base.json", BaseConfigText());
  std::ranges::for_each(m_spec.config_files, [this](const auto& file) {
    WriteFile("config/" + file.first, file.second);
  });
  WriteFile("vms.json", VmListText({}, {}));
  StartPlatform();
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    StartRelays(m_vms[i]);
    StartUpstream(i);
    StartNode(i);
  }
}

LocalFleet::~LocalFleet() {
  m_vms.clear();
  m_platform.reset();
  if (std::getenv("YUCCAMAST_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
}

void LocalFleet::AllocatePorts() {
  m_platform_port = NextPort();
  std::ranges::for_each(m_spec.vms, [this](const VmSpec& spec) {
    LocalVm vm;
    vm.spec = spec;
    vm.caller_port = NextPort();
    vm.inner_port = NextPort();
    vm.control_port = NextPort();
    vm.upstream_port = NextPort();
    vm.inner_relay_port = NextPort();
    vm.inner_relay_control_port = NextPort();
    vm.upstream_relay_port = NextPort();
    vm.upstream_relay_control_port = NextPort();
    vm.platform_relay_port = NextPort();
    vm.platform_relay_control_port = NextPort();
    m_vms.push_back(std::move(vm));
  });
}

void LocalFleet::WriteFile(const std::string& name,
                           const std::string& text) const {
  std::ofstream(m_folder + "/" + name, std::ios::binary) << text;
}

std::string LocalFleet::BaseConfigText() const {
  JsonValue::Object services;
  JsonValue::Object upstreams;
  std::set<std::string> seen;
  std::ranges::for_each(m_vms, [&](const LocalVm& vm) {
    const VmSpec& spec = vm.spec;
    if (spec.upstream.empty()) {
      return;
    }
    if (seen.insert(spec.service).second) {
      const auto options = m_spec.service_options.find(spec.service);
      services.push_back(
          {spec.service, options == m_spec.service_options.end()
                             ? JsonValue(JsonValue::Object{})
                             : ParseJson(options->second).value()});
    }
    upstreams.push_back(
        {spec.upstream, JsonValue::Object{{"service", spec.service},
                                          {"vm", spec.vm},
                                          {"slots", spec.slots}}});
  });
  return WriteJson(
      JsonValue::Object{{"services", services}, {"upstreams", upstreams}});
}

std::string LocalFleet::VmListText(
    const std::vector<std::string>& omitted,
    const std::vector<std::string>& leaving,
    const std::vector<std::string>& evacuated) const {
  VmList list;
  list.revision = m_vms_revision;
  list.evacuated = evacuated;
  std::ranges::for_each(m_vms, [&](const LocalVm& vm) {
    if (std::ranges::find(omitted, vm.spec.vm) != omitted.end()) {
      return;
    }
    VmRecord record;
    record.id = vm.spec.vm;
    record.ip = "127.0.0.1";
    record.inner_port =
        m_spec.relay_inner ? vm.inner_relay_port : vm.inner_port;
    record.data_centre = vm.spec.data_centre;
    record.region = vm.spec.region;
    record.leaving = std::ranges::find(leaving, vm.spec.vm) != leaving.end();
    list.vms.push_back(record);
  });
  return WriteVmList(list);
}

std::string LocalFleet::SettingsText(const LocalVm& vm) const {
  const int platform_port =
      m_spec.relay_platform ? vm.platform_relay_port : m_platform_port;
  JsonValue::Object settings{
      {"vm", vm.spec.vm},
      {"ip", "127.0.0.1"},
      {"data_centre", vm.spec.data_centre},
      {"region", vm.spec.region},
      {"caller_port", int{vm.caller_port}},
      {"inner_port", int{vm.inner_port}},
      {"advertised_port",
       int{m_spec.relay_inner ? vm.inner_relay_port : vm.inner_port}},
      {"control_port", int{vm.control_port}},
      {"platform", JsonValue::Object{{"config_ip", "127.0.0.1"},
                                     {"config_port", platform_port}}}};
  if (!vm.spec.upstream.empty()) {
    const int port =
        m_spec.relay_upstream ? vm.upstream_relay_port : vm.upstream_port;
    settings.push_back(
        {"upstream", JsonValue::Object{{"name", vm.spec.upstream},
                                       {"port", port},
                                       {"health_path", "/health"}}});
  }
  std::ranges::for_each(m_spec.settings, [&](const JsonMember& member) {
    std::erase_if(settings,
                  [&](const JsonMember& old) { return old.key == member.key; });
    settings.push_back(member);
  });
  return WriteJson(settings, true);
}

void LocalFleet::StartPlatform() {
  m_platform.reset();
  m_platform = std::make_unique<Process>(
      std::vector<std::string>{kStandInProgram, "platform",
                               "--port=" + std::to_string(m_platform_port),
                               "--config=" + m_folder + "/config",
                               "--vms=" + m_folder + "/vms.json"},
      m_folder + "/platform.log");
}

void LocalFleet::StartRelays(LocalVm& vm) {
  if (m_spec.relay_inner) {
    vm.inner_relay = std::make_unique<Process>(
        RelayCommand(vm.inner_relay_port, vm.inner_port,
                     vm.inner_relay_control_port, m_spec.inner_delay_us),
        m_folder + "/relay.log");
  }
  if (m_spec.relay_upstream) {
    vm.upstream_relay = std::make_unique<Process>(
        RelayCommand(vm.upstream_relay_port, vm.upstream_port,
                     vm.upstream_relay_control_port, 0),
        m_folder + "/relay.log");
  }
  if (m_spec.relay_platform) {
    vm.platform_relay = std::make_unique<Process>(
        RelayCommand(vm.platform_relay_port, m_platform_port,
                     vm.platform_relay_control_port, 0),
        m_folder + "/relay.log");
  }
}

void LocalFleet::StartUpstream(std::size_t index) {
  LocalVm& vm = m_vms[index];
  vm.upstream.reset();
  if (vm.spec.upstream.empty()) {
    return;
  }
  vm.upstream = std::make_unique<Process>(
      std::vector<std::string>{
          kStandInProgram, "upstream",
          "--port=" + std::to_string(vm.upstream_port),
          "--slots=" + std::to_string(vm.spec.slots),
          "--service-ms=" + std::to_string(vm.spec.service_ms),
          "--seed=" + std::to_string(index + 1)},
      m_folder + "/" + vm.spec.upstream + ".log");
}

void LocalFleet::StartNode(std::size_t index) {
  LocalVm& vm = m_vms[index];
  vm.node.reset();
  const std::string file = vm.spec.vm + ".json";
  WriteFile(file, SettingsText(vm));
  vm.node = std::make_unique<Process>(
      std::vector<std::string>{
          m_spec.use_test_nodes ? kTestNodeProgram : kNodeProgram, "node",
          "--settings", m_folder + "/" + file},
      m_folder + "/" + vm.spec.vm + ".log");
}

bool LocalFleet::WaitFor(const std::function<bool()>& condition,
                         std::chrono::milliseconds timeout) {
  const auto deadline = SteadyClock::now() + timeout;
  while (!condition()) {
    if (SteadyClock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

bool LocalFleet::WaitUntilReady(std::chrono::milliseconds timeout) {
  return WaitFor(
      [this] {
        return std::ranges::all_of(m_vms, [](const LocalVm& vm) {
          const auto reply = SendRequest(vm.control_port, "GET", "/health");
          const bool node_ready = !vm.node->IsRunning() || reply.status == 200;
          const bool upstream_ready =
              vm.upstream == nullptr ||
              SendRequest(vm.upstream_port, "GET", "/_standin/state").status ==
                  200;
          return node_ready && upstream_ready;
        });
      },
      timeout);
}

void LocalFleet::Publish(
    std::uint64_t revision,
    const std::vector<std::pair<std::string, std::string>>& extra) {
  PublishedConfig config;
  config.revision = revision;
  config.files.push_back({"10-base.json", BaseConfigText()});
  const auto add = [&](const auto& file) {
    config.files.push_back({file.first, file.second});
  };
  std::ranges::for_each(m_spec.config_files, add);
  std::ranges::for_each(extra, add);
  SendRequest(m_platform_port, "POST", "/_standin/publish",
              WritePublishedConfig(config));
}

void LocalFleet::PublishVmList(const std::vector<std::string>& omitted,
                               const std::vector<std::string>& leaving,
                               const std::vector<std::string>& evacuated) {
  ++m_vms_revision;
  SendRequest(m_platform_port, "POST", "/_standin/vms",
              VmListText(omitted, leaving, evacuated));
}

JsonValue LocalFleet::ReadDump(std::size_t index) {
  const ReceivedReply reply =
      SendRequest(m_vms[index].control_port, "GET", "/dump");
  auto parsed = ParseJson(reply.body);
  return parsed ? std::move(parsed.value()) : JsonValue();
}

std::map<std::string, unsigned> LocalFleet::ReadLedgers() {
  std::map<std::string, unsigned> ledger;
  std::ranges::for_each(m_vms, [&](const LocalVm& vm) {
    std::istringstream text(
        SendRequest(vm.upstream_port, "GET", "/_standin/ledger").body);
    std::string id;
    unsigned runs = 0;
    while (text >> id >> runs) {
      ledger[id] += runs;
    }
  });
  return ledger;
}

std::vector<std::uint16_t> LocalFleet::EntryPorts() const {
  std::vector<std::uint16_t> ports;
  std::ranges::transform(m_vms, std::back_inserter(ports),
                         &LocalVm::caller_port);
  return ports;
}

std::vector<std::uint16_t> LocalFleet::UpstreamPorts() const {
  std::vector<std::uint16_t> ports;
  std::ranges::transform(m_vms, std::back_inserter(ports),
                         &LocalVm::upstream_port);
  return ports;
}

}  // namespace yuccamast::testing
