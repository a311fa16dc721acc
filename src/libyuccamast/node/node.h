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
/// One node process: entry workers, exit, control plane and control server.
///
/// Threads: `entry_threads` entry workers, one exit thread, the control thread
/// (the one that calls `Run`), two that read the platform (with the default
/// source), and those of the control server. Only the entry workers and the
/// exit thread carry calls; none of these blocks.
///
/// The first SIGTERM or SIGINT starts a planned stop:
/// 1. Announcing, for `StopLimits::announce`. The health page answers 503. For
///    the first `StopLimits::admit` the exit admits offers whose deadline lies
///    before the end of the stop; then it refuses all new offers, and peers are
///    told that the node is leaving.
/// 2. Draining, for at most `StopLimits::drain`. The entries refuse calls whose
///    deadline lies after the end of the stop. Once no call runs beside the
///    node, they accept no new connections; the node waits until no call and
///    no connection of a caller is left.
/// 3. Stopped. Peers get a GOAWAY and a moment to close their connections; then
///    everything is closed and `Run` returns.
/// If calls or connections of callers are left after the drain time, or at a
/// SIGINT during the stop, the stop is overrun: the ids of the calls that are
/// left are logged, and these calls and connections are dropped. A SIGTERM
/// during the stop has no effect: stops for different reasons may overlap.
///
/// SIGHUP reloads the settings. A change of the settings file is also found by
/// polling.

namespace yuccamast {

/// Optional extensions of a node: fault injection by tests, settings reload and
/// platform adapters.
struct NodeHooks {
  /// Lets a test delay calls at each step. Empty, it costs one branch a step.
  StepHook at_step;
  /// Answers further paths of the control address; nothing: unknown path (404).
  /// Called from several threads.
  std::function<std::optional<ControlReply>(const std::string& path)>
      extra_page;
  /// Reads the settings again if they have changed since the last call, or if
  /// a signal asks for it (`by_signal`). Returns nothing if they are unchanged.
  /// Empty: the settings never change. Called on the control thread.
  std::function<std::optional<Result<NodeSettings, SettingsError>>(
      bool by_signal)>
      reload_settings;
  /// Opens the source of the configuration and the VM list; by default the
  /// project's own services, read by HTTP.
  SourceFactory make_source = OpenHttpSource;
};

/// One node. `Run` may be called once.
class Node {
 public:
  /// Opens no socket and starts no thread; see `Run`.
  explicit Node(NodeSettings settings, NodeHooks hooks = {});
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Serves until SIGTERM or SIGINT and the planned stop that follows. Blocks;
  /// the calling thread becomes the control thread. Returns the exit code of
  /// the process: 0, or 1 if the stop was overrun. Waits for up to
  /// `kBindTimeout` for an address in use. Throws boost::system::system_error
  /// if the inner TCP port or, with `asks_load`, the UDP port for load queries
  /// is not free then. If another address is not free, the process aborts,
  /// since threads run by then.
  int Run();

 private:
  enum class StopPhase : std::uint8_t {
    kServing,
    kAnnouncing,
    kDraining,
    kStopped
  };

  void StartExitAndEntries();
  void StartControlServer();
  void ArmSignals();
  /// Waits for SIGHUP and for the next poll of the settings.
  void ArmReload();
  /// Applies what may change while the node runs: service and retry limit.
  void ReloadSettings(bool by_signal);
  void BeginStop();
  void ArmStopTimer(Duration wait, std::function<void()> then);
  /// From here on the entry refuses calls that may outlast the stop.
  void BeginDrain();
  /// Stops accepting callers once no call runs beside the node, since work that
  /// runs there may make calls. Finishes the stop if nothing is left or the
  /// drain time is over; else checks again a moment later.
  void CheckDrained();
  void StopAccepting();
  void FinishStop(bool overrun);
  void LogRemainingCalls();
  /// Runs `work` on the exit thread and waits for it. Returns false if it did
  /// not finish within a time limit; it may then still run later.
  bool RunOnExitThread(std::function<void()> work);
  /// Runs `query` on the control thread and returns its result, or "busy" if
  /// it did not finish within a time limit. Call from other threads only.
  JsonValue QueryControlThread(std::function<JsonValue()> query);
  /// Answers a GET of the control address. Thread-safe.
  ControlReply HandleControlRequest(const std::string& path);
  /// State of the whole node as JSON.
  JsonValue Dump();

  const NodeSettings m_settings;
  const NodeHooks m_hooks;
  const std::uint64_t m_boot_id;
  const TimePoint m_started_at;
  Metrics m_metrics;
  MemoryBudget m_budget;
  FleetViewStore m_view_store;
  EntrySharedState m_entry;
  std::vector<std::unique_ptr<EntryWorker>> m_workers;
  asio::io_context m_exit_io;
  std::unique_ptr<ExitServer> m_exit;
  std::thread m_exit_thread;
  asio::io_context m_control_io;
  asio::signal_set m_stop_signals;
  asio::signal_set m_reload_signal;
  asio::steady_timer m_reload_timer;
  asio::steady_timer m_stop_timer;
  ControlPlane m_control_plane;
  std::unique_ptr<ControlServer> m_control_server;
  std::atomic<StopPhase> m_phase{StopPhase::kServing};
  TimePoint m_stop_deadline;
  bool m_accepting = true;  ///< Connections of callers.
  bool m_overrun = false;   ///< See the file comment.
};

}  // namespace yuccamast
