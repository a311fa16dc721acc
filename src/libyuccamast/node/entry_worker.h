#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "http/caller_connection.h"
#include "memory/memory_budget.h"
#include "node/entry_call.h"
#include "node/peer_link.h"
#include "node/running_call_ids.h"
#include "outcome/step_hook.h"
#include "yuccamast/membership/pause_detector.h"

/// \file entry_worker.h
/// One thread of the entry with its callers' connections, calls and peer links.
///
/// Each worker has a listener of its own on the callers' port (SO_REUSEPORT),
/// so the kernel distributes connections over the workers. A worker runs one
/// io_context, and its calls are asynchronous state machines (`EntryCall`): it
/// never blocks, so nested calls through the same nodes cannot deadlock by
/// waiting for each other's threads.

namespace yuccamast {

/// State that the workers share.
struct EntrySharedState {
  const NodeSettings& settings;
  FleetViewStore& view_store;
  Metrics& metrics;
  MemoryBudget& budget;
  const StepHook& at_step;
  /// Service of this VM; changes when the settings are reloaded.
  std::atomic<std::shared_ptr<const std::string>> service;
  std::atomic<bool> leaving{false};
  /// Calls that may end later are refused, since the node stops then.
  std::atomic<TimePoint> admit_until{TimePoint::max()};
  std::atomic<std::size_t> connections{0};  ///< Open ones, of all workers.
  /// Calls that run at the upstream beside this node.
  RunningCallIds running_call_ids{};
};

/// Construct, start and destroy on the control thread. `RunOnWorkerThread` may
/// be called on any thread but the worker's own.
class EntryWorker {
 public:
  /// `shared` must outlive the worker. `boot_id` must be unique to the worker.
  EntryWorker(EntrySharedState& shared, std::uint64_t boot_id);

  /// Closes the listener and the links, stops the thread and joins it. Calls
  /// and callers' connections that are still open are dropped.
  ~EntryWorker();
  EntryWorker(const EntryWorker&) = delete;
  EntryWorker& operator=(const EntryWorker&) = delete;

  /// Listens and starts the thread. Call once. Throws
  /// boost::system::system_error if the address is not free.
  void Start();

  /// Runs `work` on the worker's thread and waits for it. Returns false if it
  /// did not complete within `limit`; `work` may then still run later.
  bool RunOnWorkerThread(std::function<void()> work, Duration limit);

  // The methods below are for the worker's own thread; see RunOnWorkerThread.

  /// Closes the listener, and the callers' connections as soon as nothing is
  /// lost by it, see `CallerConnection::Stop`. Connections that the kernel has
  /// already accepted are served.
  void StopAccepting();
  /// Number of calls in progress.
  std::size_t calls() const { return m_calls.size(); }
  /// Number of open connections of callers.
  std::size_t callers() const { return m_callers.size(); }
  /// Ids of the calls in progress.
  std::vector<std::string> CallIds() const;
  /// Callers, calls and links for the dump.
  JsonValue ToJson() const;

 private:
  void Accept();
  /// Accepts the connections that wait in the listener's backlog, without
  /// waiting for more.
  void AcceptBacklog();
  /// The node's own limits, overridden by those of the configuration.
  CallerLimits EffectiveLimits() const;
  void AddCaller(boost::asio::ip::tcp::socket socket);
  CallHandle HandleCall(CallerRequest request,
                        std::function<void(CallerReply)> done);
  std::shared_ptr<PeerLink> FindOrAddLink(const tcp::endpoint& endpoint);
  void ArmTick();
  void OnTick();
  /// Closes the links to nodes that the VM list does not name, except those
  /// with open offers.
  void CloseUnlistedLinks();
  /// Closes callers that hold memory for long while memory is short.
  void CloseMemoryHolders();

  EntrySharedState& m_shared;
  boost::asio::io_context m_io;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      m_work_guard;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_tick_timer;
  LoadQueryClient m_load_query_client;
  EntryContext m_context;
  CallerHooks m_hooks;
  PauseDetector m_pause_detector;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_callers;
  std::unordered_map<EntryCall*, std::shared_ptr<EntryCall>> m_calls;
  std::map<tcp::endpoint, std::shared_ptr<PeerLink>> m_links;
  std::uint64_t m_link_generation = 0;  ///< Of the link added last.
  std::size_t m_turned_away = 0;  ///< `MemoryBudget::turned_away` when checked.
  /// VM list of which `CloseUnlistedLinks` has closed all unlisted links.
  std::shared_ptr<const VmList> m_links_checked_for;
  std::thread m_thread;
};

}  // namespace yuccamast
