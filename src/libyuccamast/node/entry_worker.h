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
#include "http/memory_budget.h"
#include "node/entry_call.h"
#include "node/peer_link.h"
#include "node/running_call_ids.h"
#include "outcome/step_hook.h"
#include "yuccamast/membership/pause_detector.h"

/// \file entry_worker.h
/// One thread of the entry: its callers, its calls and its ways to peers.
///
/// Each worker listens on the callers' port by itself (SO_REUSEPORT), so the
/// kernel spreads connections over the workers. Calls are state, not threads:
/// a worker never blocks, so calls that nest over the same nodes cannot wait
/// for each other's threads.

namespace yuccamast {

/// State that the workers share.
struct EntrySharedState {
  const NodeSettings& settings;
  FleetViewStore& store;
  Metrics& metrics;
  MemoryBudget& budget;
  const StepHook& at_step;
  /// Service on this VM; changes with the settings.
  std::atomic<std::shared_ptr<const std::string>> service;
  std::atomic<bool> leaving{false};
  std::atomic<std::size_t> connections{0};
  RunningCallIds running{};  ///< At the upstream beside this node.
};

/// Construct and start on the control thread. `Post` is thread-safe.
class EntryWorker {
 public:
  EntryWorker(EntrySharedState& shared, std::uint64_t boot_id);
  ~EntryWorker();
  EntryWorker(const EntryWorker&) = delete;
  EntryWorker& operator=(const EntryWorker&) = delete;

  /// Listens and runs the thread. Throws if the address is not free.
  void Start();

  /// Runs `work` on the worker's thread and waits for it. False if the thread
  /// did not get to it within `limit`.
  bool RunOnWorkerThread(std::function<void()> work, Duration limit);

  // The methods below are for the worker's own thread; see RunOnWorkerThread.

  /// Stops listening and closes idle connections of callers.
  void StopAccepting();
  std::size_t calls() const { return m_calls.size(); }
  std::size_t callers() const { return m_callers.size(); }
  std::vector<std::string> CallIds() const;
  JsonValue ToJson() const;

 private:
  void Accept();
  void AcceptBacklog();
  CallerLimits LimitsInForce() const;
  void AddCaller(boost::asio::ip::tcp::socket socket);
  CallHandle RunCall(CallerRequest request,
                     std::function<void(CallerReply)> done);
  std::shared_ptr<PeerLink> LinkTo(const tcp::endpoint& endpoint);
  void ArmTick();
  void OnTick();
  void CloseIdleLinks();

  EntrySharedState& m_shared;
  boost::asio::io_context m_io;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      m_guard;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_tick;
  LoadQueryClient m_asker;
  EntryContext m_context;
  CallerHooks m_hooks;
  PauseDetector m_pause;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> m_callers;
  std::unordered_map<EntryCall*, std::shared_ptr<EntryCall>> m_calls;
  std::map<tcp::endpoint, std::shared_ptr<PeerLink>> m_links;
  std::uint64_t m_link_generation = 0;
  std::shared_ptr<const VmList> m_links_checked_for;
  std::thread m_thread;
};

}  // namespace yuccamast
