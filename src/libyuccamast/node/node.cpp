#include "node/node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <random>

#include "log/log.h"
#include "yuccamast/version.h"

namespace yuccamast {

namespace {

constexpr Duration kDrainCheck = std::chrono::milliseconds(20);
constexpr Duration kThreadAnswer = std::chrono::milliseconds(500);
constexpr Duration kGoodbye = std::chrono::milliseconds(500);

std::uint64_t NewBootId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

Node::Node(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_boot_id(NewBootId()),
      m_started_at(Clock::now()),
      m_budget(m_settings.memory_bytes),
      m_store(m_settings),
      m_entry{m_settings, m_store, m_metrics, m_budget},
      m_exit_io(1),
      m_signals(m_control_io),
      m_stop_timer(m_control_io) {}

Node::~Node() = default;

int Node::Run() {
  StartFaces();
  WatcherHooks hooks;
  hooks.should_read = [] { return true; };
  hooks.revision = [this] {
    const std::lock_guard lock(m_config_mutex);
    return std::max(m_keeper.version().revision,
                    m_keeper.refused_version().revision);
  };
  hooks.on_config = [this](const PublishedConfig& config) { OnConfig(config); };
  hooks.on_vms = [this](VmList list) { OnVms(std::move(list)); };
  m_watcher = std::make_unique<PlatformWatcher>(m_settings, m_metrics,
                                                std::move(hooks));
  m_control = std::make_unique<ControlServer>(
      m_settings.ip, m_settings.control_port,
      [this](const std::string& path) { return OnControl(path); });
  ArmSignals();
  Log(LogLevel::kInfo, LogEvent::kNodeStarted,
      {{"version", kVersion},
       {"boot", m_boot_id},
       {"caller_port", m_settings.caller_port},
       {"inner_port", m_settings.inner_port},
       {"upstream", m_settings.upstream}});
  m_control_io.run();
  Log(LogLevel::kInfo, LogEvent::kNodeStopped, {{"overrun", m_overrun}});
  return m_overrun ? 1 : 0;
}

void Node::StartFaces() {
  m_exit = std::make_unique<ExitFace>(m_exit_io, m_settings, m_store, m_metrics,
                                      m_budget, m_boot_id);
  m_exit->Listen();
  m_exit_thread = std::thread([this] { m_exit_io.run(); });
  for (std::uint32_t i = 0; i < m_settings.entry_threads; ++i) {
    m_workers.push_back(
        std::make_unique<EntryWorker>(m_entry, m_boot_id + i + 1));
    m_workers.back()->Start();
  }
}

bool Node::RunOnExit(std::function<void()> work) {
  const auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  asio::post(m_exit_io, [work = std::move(work), done] {
    work();
    done->set_value();
  });
  return future.wait_for(kThreadAnswer) == std::future_status::ready;
}

void Node::OnConfig(const PublishedConfig& config) {
  const std::lock_guard lock(m_config_mutex);
  const ConfigVerdict verdict = m_keeper.Offer(config.files, config.revision);
  if (verdict == ConfigVerdict::kAccepted) {
    m_store.SetConfig(m_keeper.in_force());
    Log(LogLevel::kInfo, LogEvent::kConfigAccepted,
        {{"revision", config.revision}, {"digest", m_keeper.version().digest}});
  } else if (verdict == ConfigVerdict::kRefused) {
    std::ranges::for_each(m_keeper.refused_errors(),
                          [&](const ConfigError& error) {
                            Log(LogLevel::kError, LogEvent::kConfigRefused,
                                {{"revision", config.revision},
                                 {"file", error.file},
                                 {"key", error.key},
                                 {"fault", NameOf(error.fault)},
                                 {"detail", error.detail}});
                          });
  } else if (verdict == ConfigVerdict::kOlder) {
    Log(LogLevel::kWarning, LogEvent::kConfigStale,
        {{"offered", config.revision},
         {"in_force", m_keeper.version().revision}});
  }
}

void Node::OnVms(VmList list) {
  const auto view = m_store.Load();
  const std::size_t before = view->vms == nullptr ? 0 : view->vms->vms.size();
  if (list.vms.size() * 2 < before && m_vm_refusals < 5) {
    // One bad read must not drop half of the fleet.
    ++m_vm_refusals;
    Log(LogLevel::kWarning, LogEvent::kVmListRefused,
        {{"vms", list.vms.size()}, {"before", before}});
    return;
  }
  m_vm_refusals = 0;
  if (view->vms != nullptr && view->vms->vms == list.vms) {
    return;
  }
  Log(LogLevel::kInfo, LogEvent::kVmListAccepted,
      {{"revision", list.revision}, {"vms", list.vms.size()}});
  m_store.SetVms(std::make_shared<const VmList>(std::move(list)));
}

void Node::ArmSignals() {
  if (m_phase == StopPhase::kServing) {
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
  }
  m_signals.async_wait([this](const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    if (m_phase == StopPhase::kServing) {
      BeginStop();
    } else {
      FinishStop(true);
      return;
    }
    ArmSignals();
  });
}

void Node::BeginStop() {
  m_phase = StopPhase::kAnnouncing;
  m_entry.leaving = true;
  RunOnExit([this] { m_exit->calls().StartLeaving(); });
  m_stop_timer.expires_after(m_settings.stop.announce);
  m_stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      BeginDrain();
    }
  });
}

void Node::BeginDrain() {
  m_phase = StopPhase::kDraining;
  m_stop_deadline = Clock::now() + m_settings.stop.drain;
  std::ranges::for_each(m_workers, [](const auto& worker) {
    EntryWorker* raw = worker.get();
    worker->RunThere([raw] { raw->StopAccepting(); }, kThreadAnswer);
  });
  CheckDrained();
}

void Node::CheckDrained() {
  const auto left = std::make_shared<std::atomic<std::size_t>>(0);
  std::ranges::for_each(m_workers, [&](const auto& worker) {
    EntryWorker* raw = worker.get();
    const bool there = worker->RunThere(
        [raw, left] { *left += raw->calls() + raw->callers(); }, kThreadAnswer);
    *left += there ? 0 : 1;
  });
  const bool exit_there =
      RunOnExit([this, left] { *left += m_exit->calls().Drained() ? 0 : 1; });
  *left += exit_there ? 0 : 1;
  if (*left == 0) {
    FinishStop(false);
    return;
  }
  if (Clock::now() > m_stop_deadline) {
    FinishStop(true);
    return;
  }
  m_stop_timer.expires_after(kDrainCheck);
  m_stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      CheckDrained();
    }
  });
}

void Node::LogCallsLeft() {
  const auto log = [](const std::vector<std::string>& ids,
                      std::string_view face) {
    std::ranges::for_each(ids, [&](const std::string& id) {
      Log(LogLevel::kError, LogEvent::kStopCallLeft,
          {{"call", id}, {"face", face}});
    });
  };
  Log(LogLevel::kError, LogEvent::kStopOverrun, {});
  std::ranges::for_each(m_workers, [&](const auto& worker) {
    EntryWorker* raw = worker.get();
    worker->RunThere([raw, log] { log(raw->CallIds(), "entry"); },
                     kThreadAnswer);
  });
  RunOnExit([this, log] { log(m_exit->calls().CallIds(), "exit"); });
}

void Node::FinishStop(bool overrun) {
  m_phase = StopPhase::kOver;
  m_overrun = overrun;
  if (overrun) {
    LogCallsLeft();
  }
  RunOnExit([this] { m_exit->Terminate(); });
  const TimePoint until = Clock::now() + kGoodbye;
  const auto gone = std::make_shared<std::atomic<bool>>(false);
  while (!*gone && Clock::now() < until) {
    RunOnExit([this, gone] { *gone = m_exit->PeersGone(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  m_control.reset();
  m_watcher.reset();
  m_workers.clear();
  RunOnExit([this] { m_exit->Close(); });
  m_exit_io.stop();
  m_exit_thread.join();
  m_signals.cancel();
  m_control_io.stop();
}

ControlReply Node::OnControl(const std::string& path) {
  if (path == "/dump") {
    return {200, "application/json", WriteJson(Dump(), true) + "\n"};
  }
  if (path == "/metrics") {
    return {200, "text/plain; version=0.0.4", m_metrics.ToText()};
  }
  if (path == "/health") {
    const bool ready = m_store.Load()->config != nullptr;
    const bool serving = m_phase == StopPhase::kServing;
    return {ready && serving ? 200U : 503U, "text/plain",
            !ready ? "no configuration\n" : (serving ? "ok\n" : "leaving\n")};
  }
  return {404, "text/plain", "unknown page\n"};
}

JsonValue Node::ConfigToJson() {
  const std::lock_guard lock(m_config_mutex);
  const ConfigVersion version = m_keeper.version();
  JsonValue::Array errors;
  std::ranges::transform(m_keeper.refused_errors(), std::back_inserter(errors),
                         [](const ConfigError& error) {
                           return JsonValue::Object{
                               {"file", error.file},
                               {"key", error.key},
                               {"fault", NameOf(error.fault)},
                               {"detail", error.detail}};
                         });
  return JsonValue::Object{
      {"revision", version.revision},
      {"digest", version.digest},
      {"refused_revision", m_keeper.refused_version().revision},
      {"refused_errors", std::move(errors)},
      {"conflict_seen", m_keeper.conflict_seen()},
      {"service_reachable",
       m_watcher != nullptr && m_watcher->config_reachable()},
      {"vm_list_reachable",
       m_watcher != nullptr && m_watcher->vm_list_reachable()}};
}

JsonValue Node::Dump() {
  JsonValue::Array entries;
  std::ranges::for_each(m_workers, [&](const auto& worker) {
    const auto json = std::make_shared<JsonValue>("busy");
    EntryWorker* raw = worker.get();
    const bool there =
        worker->RunThere([raw, json] { *json = raw->ToJson(); }, kThreadAnswer);
    entries.push_back(there ? *json : JsonValue("busy"));
  });
  const auto exit = std::make_shared<JsonValue>();
  const bool exit_there =
      RunOnExit([this, exit] { *exit = m_exit->calls().ToJson(); });
  const auto view = m_store.Load();
  JsonValue::Array vms;
  if (view->vms != nullptr) {
    std::ranges::transform(
        view->vms->vms, std::back_inserter(vms), [](const VmRecord& vm) {
          return JsonValue::Object{{"id", vm.id},
                                   {"ip", vm.ip},
                                   {"inner_port", int{vm.inner_port}},
                                   {"data_centre", vm.data_centre},
                                   {"region", vm.region},
                                   {"leaving", vm.leaving}};
        });
  }
  const std::int64_t uptime =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                            m_started_at)
          .count();
  return JsonValue::Object{
      {"version", kVersion},
      {"vm", m_settings.vm},
      {"boot_id", std::to_string(m_boot_id)},
      {"uptime_ms", uptime},
      {"leaving", m_phase != StopPhase::kServing},
      {"config", ConfigToJson()},
      {"vms", std::move(vms)},
      {"balance", m_store.BalanceToJson(Clock::now())},
      {"entries", std::move(entries)},
      {"exit", exit_there ? *exit : JsonValue("busy")},
      {"memory",
       JsonValue::Object{{"bodies_used", std::uint64_t{m_budget.used()}},
                         {"bodies_limit", std::uint64_t{m_budget.limit()}}}},
      {"metrics", m_metrics.ToJson()}};
}

}  // namespace yuccamast
