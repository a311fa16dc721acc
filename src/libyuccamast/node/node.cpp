#include "node/node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <random>
#include <system_error>

#include "log/log.h"
#include "memory/return_freed.h"
#include "node/bind.h"
#include "yuccamast/version.h"

namespace yuccamast {

namespace {

/// Period of `CheckDrained`.
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(20);
/// Maximum wait for work that was posted to another thread.
constexpr Duration kThreadReplyTimeout = std::chrono::milliseconds(500);
/// The settings file is polled, since it may change without a signal.
constexpr Duration kSettingsPollPeriod = std::chrono::milliseconds(1000);
/// Time between the last deadline that a stopping node admits and the end of
/// its drain, in which the answer is written.
constexpr Duration kLastReplyTime = std::chrono::milliseconds(100);
/// Maximum time that peers have to close their connections after a GOAWAY.
constexpr Duration kPeerCloseTimeout = std::chrono::milliseconds(500);

/// A random number that tells this run of the process from all others.
std::uint64_t NewBootId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

JsonValue MemoryToJson(const MemoryBudget& budget) {
  JsonValue::Object json{{"bodies_used", std::uint64_t{budget.used()}},
                         {"bodies_limit", std::uint64_t{budget.limit()}},
                         {"failures", std::uint64_t{budget.failures()}}};
  for (std::size_t i = 0; i < kMemoryUseNames.size(); ++i) {
    const std::size_t held = budget.used(static_cast<MemoryUse>(i));
    json.push_back({std::string(kMemoryUseNames.at(i)), std::uint64_t{held}});
  }
  return json;
}

/// The settings with `budget` as the account of the links, which is not used
/// here. Messages may have the size that an exit could take.
NodeSettings WithBudget(NodeSettings settings, MemoryBudget& budget) {
  settings.link.budget = &budget;
  settings.link.max_message_bytes =
      std::max(settings.link.max_message_bytes,
               MemoryBudget(settings.memory_bytes).ShareOf(MemoryUse::kOffer));
  return settings;
}

}  // namespace

Node::Node(NodeSettings settings, NodeHooks hooks)
    : m_settings(WithBudget(std::move(settings), m_budget)),
      m_hooks(std::move(hooks)),
      m_boot_id(NewBootId()),
      m_started_at(Clock::now()),
      m_budget(m_settings.memory_bytes),
      m_view_store(m_settings),
      m_entry{m_settings,
              m_view_store,
              m_metrics,
              m_budget,
              m_hooks.at_step,
              std::make_shared<const std::string>(m_settings.service)},
      m_exit_io(1),
      m_stop_signals(m_control_io),
      m_reload_signal(m_control_io, SIGHUP),
      m_reload_timer(m_control_io),
      m_stop_timer(m_control_io),
      m_control_plane(m_control_io,
                      m_settings,
                      m_view_store,
                      m_metrics,
                      m_hooks.make_source) {}

Node::~Node() = default;

int Node::Run() {
  ReturnFreedMemory();
  // Before callers can connect, so that a stop never cuts them.
  ArmSignals();
  StartExitAndEntries();
  m_control_plane.Start();
  StartControlServer();
  ArmReload();
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

void Node::StartExitAndEntries() {
  m_exit = std::make_unique<ExitServer>(m_exit_io, m_settings, m_view_store,
                                        m_metrics, m_budget, m_boot_id);
  m_exit->calls().SetLeavingHook([this](bool leaving) {
    asio::post(m_control_io,
               [this, leaving] { m_control_plane.SetLeaving(leaving); });
  });
  m_exit->calls().SetRunningCallIds(&m_entry.running_call_ids);
  m_exit->calls().SetStepHook(m_hooks.at_step);
  m_exit->SetControlHook([this](std::string bytes) {
    return m_control_plane.HandleFetch(std::move(bytes));
  });
  m_exit->Listen();
  m_exit_thread = std::thread([this] { m_exit_io.run(); });
  for (std::uint32_t i = 0; i < m_settings.entry_threads; ++i) {
    m_workers.push_back(
        std::make_unique<EntryWorker>(m_entry, m_boot_id + i + 1));
    m_workers.back()->Start();
  }
}

void Node::StartControlServer() {
  const bool started = RetryWhileInUse([this] {
    try {
      m_control_server = std::make_unique<ControlServer>(
          m_settings.ip,
          std::vector<std::uint16_t>{m_settings.control_port,
                                     m_settings.ready_port},
          [this](const std::string& path) {
            return HandleControlRequest(path);
          });
      return true;
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use) {
        throw;
      }
      return false;
    }
  });
  if (!started) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            "control or ready port");
  }
}

bool Node::RunOnExitThread(std::function<void()> work) {
  const auto done = std::make_shared<std::promise<void>>();
  auto future = done->get_future();
  asio::post(m_exit_io, [work = std::move(work), done] {
    work();
    done->set_value();
  });
  return future.wait_for(kThreadReplyTimeout) == std::future_status::ready;
}

JsonValue Node::QueryControlThread(std::function<JsonValue()> query) {
  const auto answer = std::make_shared<std::promise<JsonValue>>();
  auto future = answer->get_future();
  asio::post(m_control_io, [query = std::move(query), answer] {
    answer->set_value(query());
  });
  return future.wait_for(kThreadReplyTimeout) == std::future_status::ready
             ? future.get()
             : JsonValue("busy");
}

void Node::ArmSignals() {
  if (m_phase == StopPhase::kServing) {
    m_stop_signals.add(SIGTERM);
    m_stop_signals.add(SIGINT);
  }
  m_stop_signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (m_phase == StopPhase::kServing) {
          BeginStop();
        } else if (signal == SIGINT) {
          FinishStop(true);
          return;
        }
        ArmSignals();
      });
}

void Node::ArmReload() {
  m_reload_signal.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (!error) {
          ReloadSettings(true);
          m_reload_timer.cancel();
          ArmReload();
        }
      });
  m_reload_timer.expires_after(kSettingsPollPeriod);
  m_reload_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ReloadSettings(false);
      m_reload_signal.cancel();
      ArmReload();
    }
  });
}

void Node::ReloadSettings(bool by_signal) {
  const auto reloaded = m_hooks.reload_settings
                            ? m_hooks.reload_settings(by_signal)
                            : decltype(m_hooks.reload_settings(by_signal))();
  if (!reloaded) {
    return;
  }
  if (!*reloaded) {
    Log(LogLevel::kError, LogEvent::kSettingsRefused,
        {{"detail", reloaded->error().detail}});
    return;
  }
  const NodeSettings& settings = reloaded->value();
  const auto service = m_entry.service.load();
  const bool service_changed = *service != settings.service;
  if (service_changed) {
    m_entry.service.store(
        std::make_shared<const std::string>(settings.service));
  }
  m_view_store.SetRetryLimit(settings.retry_limit);
  Log(LogLevel::kInfo, LogEvent::kSettingsReloaded,
      {{"asked", by_signal},
       {"service", settings.service},
       {"moved", service_changed}});
}

void Node::BeginStop() {
  m_phase = StopPhase::kAnnouncing;
  m_entry.leaving = true;
  const StopLimits& stop = m_settings.stop;
  const Duration admit = std::min(stop.admit, stop.announce);
  const TimePoint end =
      Clock::now() + stop.announce + stop.drain - kLastReplyTime;
  RunOnExitThread([this, end] { m_exit->calls().AdmitOnlyUntil(end); });
  const auto start_leaving = [this, remaining = stop.announce - admit] {
    RunOnExitThread([this] { m_exit->calls().StartLeaving(); });
    m_control_plane.SetLeaving(true);
    ArmStopTimer(remaining, [this] { BeginDrain(); });
  };
  if (admit <= Duration::zero()) {
    start_leaving();
  } else {
    ArmStopTimer(admit, start_leaving);
  }
}

void Node::ArmStopTimer(Duration wait, std::function<void()> then) {
  m_stop_timer.expires_after(wait);
  m_stop_timer.async_wait(
      [then = std::move(then)](const boost::system::error_code& error) {
        if (!error) {
          then();
        }
      });
}

void Node::BeginDrain() {
  m_phase = StopPhase::kDraining;
  m_stop_deadline = Clock::now() + m_settings.stop.drain;
  m_entry.admit_until = m_stop_deadline - kLastReplyTime;
  CheckDrained();
}

void Node::StopAccepting() {
  m_accepting = false;
  std::ranges::for_each(m_workers, [](const auto& worker) {
    EntryWorker* raw = worker.get();
    worker->RunOnWorkerThread([raw] { raw->StopAccepting(); },
                              kThreadReplyTimeout);
  });
}

void Node::CheckDrained() {
  const auto exit_drained = std::make_shared<std::atomic<bool>>(false);
  RunOnExitThread(
      [this, exit_drained] { *exit_drained = m_exit->calls().Drained(); });
  if (m_accepting && *exit_drained) {
    StopAccepting();
  }
  const auto pending = std::make_shared<std::atomic<std::size_t>>(0);
  std::ranges::for_each(m_workers, [&](const auto& worker) {
    EntryWorker* raw = worker.get();
    const bool ran = worker->RunOnWorkerThread(
        [raw, pending] { *pending += raw->calls() + raw->callers(); },
        kThreadReplyTimeout);
    *pending += ran ? 0 : 1;
  });
  if (*pending == 0 && *exit_drained && !m_accepting) {
    FinishStop(false);
    return;
  }
  if (Clock::now() > m_stop_deadline) {
    FinishStop(true);
    return;
  }
  ArmStopTimer(kDrainCheckPeriod, [this] { CheckDrained(); });
}

void Node::LogRemainingCalls() {
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
    worker->RunOnWorkerThread([raw, log] { log(raw->CallIds(), "entry"); },
                              kThreadReplyTimeout);
  });
  RunOnExitThread([this, log] { log(m_exit->calls().CallIds(), "exit"); });
}

void Node::FinishStop(bool overrun) {
  m_phase = StopPhase::kStopped;
  m_overrun = overrun;
  if (overrun) {
    LogRemainingCalls();
  }
  RunOnExitThread([this] { m_exit->BeginGracefulShutdown(); });
  const TimePoint close_deadline = Clock::now() + kPeerCloseTimeout;
  const auto peers_gone = std::make_shared<std::atomic<bool>>(false);
  while (!*peers_gone && Clock::now() < close_deadline) {
    RunOnExitThread([this, peers_gone] { *peers_gone = m_exit->PeersGone(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  m_control_server.reset();
  m_control_plane.Close();
  m_workers.clear();
  RunOnExitThread([this] { m_exit->Close(); });
  m_exit_io.stop();
  m_exit_thread.join();
  m_stop_signals.cancel();
  m_reload_signal.cancel();
  m_reload_timer.cancel();
  m_control_io.stop();
}

ControlReply Node::HandleControlRequest(const std::string& path) {
  if (path == "/dump") {
    return {200, "application/json", WriteJson(Dump(), true) + "\n"};
  }
  if (path == "/status") {
    return {200, "application/json",
            WriteJson(QueryControlThread(
                [this] { return m_control_plane.MembersToJson(); })) +
                "\n"};
  }
  if (path == "/metrics") {
    return {200, "text/plain; version=0.0.4", m_metrics.ToText()};
  }
  if (path == "/health" || path == m_settings.ready_path) {
    const auto view = m_view_store.Load();
    const bool ready = view->config != nullptr && view->vms != nullptr;
    const bool serving = m_phase == StopPhase::kServing;
    return {ready && serving ? 200U : 503U, "text/plain",
            !ready ? "no configuration\n" : (serving ? "ok\n" : "leaving\n")};
  }
  if (m_hooks.extra_page) {
    if (const auto reply = m_hooks.extra_page(path)) {
      return *reply;
    }
  }
  return {404, "text/plain", "unknown page\n"};
}

JsonValue Node::Dump() {
  JsonValue::Array entries;
  std::ranges::for_each(m_workers, [&](const auto& worker) {
    const auto json = std::make_shared<JsonValue>("busy");
    EntryWorker* raw = worker.get();
    const bool ran = worker->RunOnWorkerThread(
        [raw, json] { *json = raw->ToJson(); }, kThreadReplyTimeout);
    entries.push_back(ran ? *json : JsonValue("busy"));
  });
  const auto exit = std::make_shared<JsonValue>();
  const bool exit_ran =
      RunOnExitThread([this, exit] { *exit = m_exit->calls().ToJson(); });
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
      {"config",
       QueryControlThread([this] { return m_control_plane.ConfigToJson(); })},
      {"members",
       QueryControlThread([this] { return m_control_plane.MembersToJson(); })},
      {"view_old", m_view_store.IsStale()},
      {"balance", m_view_store.BalanceToJson(Clock::now())},
      {"entries", std::move(entries)},
      {"exit", exit_ran ? *exit : JsonValue("busy")},
      {"memory", MemoryToJson(m_budget)},
      {"metrics", m_metrics.ToJson()}};
}

}  // namespace yuccamast
