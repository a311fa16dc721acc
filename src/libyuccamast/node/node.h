#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "admin/control_server.h"
#include "node/control_plane.h"
#include "node/entry_worker.h"
#include "node/exit_server.h"
#include "node/settings.h"
#include "outcome/step_hook.h"

/// \file node.h
/// One node: both faces, the control thread and the operators' address.
///
/// Threads: `entry_threads` workers, one exit thread, the control thread (the
/// one that calls `Run`), two that read the platform, and those of the control
/// server. Only the first two kinds carry calls, and none of them blocks.

namespace yuccamast {

/// What a test may hang into a node. Empty hooks cost one branch a step.
struct NodeHooks {
  StepHook at_step;
  /// Answers further pages of the control address; nothing means unknown.
  std::function<std::optional<ControlReply>(const std::string& path)>
      extra_page;
  /// Reads the settings again if they have changed since the last call, or if
  /// `asked` by a signal. Nothing: there is nothing new. Empty: never changes.
  std::function<std::optional<Result<NodeSettings, SettingsError>>(bool asked)>
      reload_settings;
  /// Where the facts come from; by default the project's own service.
  SourceFactory make_source = OpenHttpSource;
};

/// Runs from `Run` until a planned stop is over.
class Node {
 public:
  explicit Node(NodeSettings settings, NodeHooks hooks = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Serves until SIGTERM or SIGINT and the planned stop that follows.
  /// Returns the exit code of the process: 0 if no call was cut.
  int Run();

 private:
  enum class StopPhase : std::uint8_t {
    kServing,
    kAnnouncing,
    kDraining,
    kOver
  };

  void StartFaces();
  void ArmSignals();
  void ArmReload();
  void Reread(bool asked);
  void BeginStop();
  void AfterStopTimer(Duration wait, std::function<void()> then);
  void BeginDrain();
  void CheckDrained();
  void FinishStop(bool overrun);
  void LogCallsLeft();
  bool RunOnExit(std::function<void()> work);
  JsonValue AskControl(std::function<JsonValue()> question);
  ControlReply OnControl(const std::string& path);
  JsonValue Dump();

  const NodeSettings m_settings;
  const NodeHooks m_hooks;
  const std::uint64_t m_boot_id;
  const TimePoint m_started_at;
  Metrics m_metrics;
  MemoryBudget m_budget;
  FleetViewStore m_store;
  EntrySharedState m_entry;
  std::vector<std::unique_ptr<EntryWorker>> m_workers;
  asio::io_context m_exit_io;
  std::unique_ptr<ExitServer> m_exit;
  std::thread m_exit_thread;
  asio::io_context m_control_io;
  asio::signal_set m_signals;
  asio::signal_set m_hangup;
  asio::steady_timer m_reload_timer;
  asio::steady_timer m_stop_timer;
  ControlPlane m_plane;
  std::unique_ptr<ControlServer> m_control;
  std::atomic<StopPhase> m_phase{StopPhase::kServing};
  TimePoint m_stop_deadline;
  bool m_overrun = false;
};

}  // namespace yuccamast
