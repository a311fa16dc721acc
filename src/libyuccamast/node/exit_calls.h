#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/health_checker.h"
#include "http/memory_budget.h"
#include "http/upstream_pool.h"
#include "link/server.h"
#include "log/log.h"
#include "node/fleet_view.h"
#include "node/running_call_ids.h"
#include "node/settings.h"
#include "outcome/step_hook.h"
#include "yuccamast/admission/admission.h"
#include "yuccamast/admission/service_time_estimator.h"
#include "yuccamast/admission/vm_speed_tracker.h"
#include "yuccamast/membership/pause_detector.h"
#include "yuccamast/outcome/call_state_machine.h"
#include "yuccamast/outcome/sequence_window.h"

/// \file exit_calls.h
/// The calls that an exit holds, from their offer to their one answer.
///
/// All of it runs on one thread, so slots, queue and the decision between
/// start and cancel need no lock and are exact. Whether a call was started is
/// decided by `CallStateMachine::TryStart`, in the `start` hook that runs right
/// before the first byte is written to the upstream.

namespace yuccamast {

/// Use from the thread of its io_context only.
class ExitCalls {
 public:
  using ReportDone = std::function<void(const LoadReport&)>;

  ExitCalls(boost::asio::io_context& io,
            const NodeSettings& settings,
            FleetViewStore& store,
            Metrics& metrics,
            MemoryBudget& budget,
            std::uint64_t boot_id);
  ~ExitCalls();

  /// Begins to expire queued calls. Call once.
  void Start();

  /// Takes an offer as it was read from a peer. `key` names it in `Cancel`.
  void Offer(const std::string& bytes,
             const StreamResponder& reply,
             std::uint64_t key);

  /// The entry gave the offer up or is gone.
  void Cancel(std::uint64_t key);

  /// Lets a test hold calls; set before the first offer.
  void SetStepHook(StepHook hook) { m_at_step = std::move(hook); }

  /// Where the ids of running calls are noted; set before the first offer.
  void SetRunningIds(RunningCallIds* running) { m_running = running; }

  /// Called when `leaving` changes; set before the first offer.
  void SetLeavingHook(std::function<void(bool leaving)> hook) {
    m_on_leaving = std::move(hook);
  }

  /// The node will have stopped by `end`: only calls that must end before it
  /// are admitted from now on.
  void AdmitOnlyUntil(TimePoint end) { m_stop_end = end; }

  /// The node is stopping: new offers are refused, calls held go on.
  void StartLeaving();

  /// Whether new offers are refused, because the node is stopping or the
  /// upstream drains.
  bool leaving() const { return m_stopping || Draining() || m_listed_leaving; }

  /// Whether no call is held.
  bool Drained() const { return m_calls.empty(); }

  /// Stops the timer and closes idle connections to the upstream.
  void Close();

  LoadReport Report() const;

  /// Calls `done` with a report that rests on a fresh reading of the upstream's
  /// load, asked for if need be; at the latest after a few milliseconds.
  /// `done` may run before this returns.
  void ReportFresh(ReportDone done);
  JsonValue ToJson() const;

  /// Ids of the calls held, for the log of an overrun stop.
  std::vector<std::string> CallIds() const;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void AtStep(CallStep step,
              const std::string& target,
              std::function<void()> go);
  void Process(OfferMessage offer,
               const StreamResponder& reply,
               std::uint64_t key);
  void ArmDeadline(const CallPtr& call);
  void FinishRun(const CallPtr& call, UpstreamResult result);
  std::optional<RefusalReason> CheckOffer(const OfferMessage& offer,
                                          TimePoint now);
  void Admit(const CallPtr& call, TimePoint now);
  void StartRun(const CallPtr& call);
  void OnRunDone(const CallPtr& call, UpstreamResult result);
  void OnDeadline(const CallPtr& call);
  void StartQueued();
  void LogRefusedOffer(const OfferMessage& offer, RefusalReason reason) const;
  void LogRun(const Call& call, LogEvent event, std::string_view reason) const;
  void AnswerRefusal(const StreamResponder& reply, RefusalReason reason) const;
  void RefuseCall(const CallPtr& call, RefusalReason reason);
  void Discard(const CallPtr& entry);
  void ReleaseSlot(const CallPtr& call, bool counts);
  void ArmTick();
  void OnTick();
  void CheckPause(TimePoint now);
  void RefreshLimits();
  UpstreamRequest BuildRequest(Call& call) const;
  bool Draining() const { return m_watch != nullptr && m_watch->draining(); }
  void OnDraining(bool draining);
  bool IsMine(const std::string& upstream) const;
  void OnLoad(const UpstreamLoad& load, TimePoint now);
  void TellAskers();
  /// How much longer than usual calls take, their machine's speed apart.
  double PaceNow(TimePoint now) const;
  void OnHealthWord(const HealthStatus& word,
                    const std::optional<UpstreamLoad>& load);

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  FleetViewStore& m_store;
  Metrics& m_metrics;
  MemoryBudget& m_budget;
  const std::uint64_t m_boot_id;
  Admission m_admission;
  std::unique_ptr<UpstreamPool> m_upstream;
  std::shared_ptr<const FleetView> m_limits_from;
  ServiceTimeEstimator m_work;
  VmSpeedTracker m_speed;
  mutable SlowdownEstimator m_pace;  ///< Fades when it is read.
  std::vector<ReportDone> m_askers;  ///< Wait for a fresh reading.
  boost::asio::steady_timer m_ask_timer;
  std::string m_named;  ///< What the upstream last called itself.
  bool m_listed_leaving = false;
  std::unordered_map<CallTicket, CallPtr> m_calls;
  std::unordered_map<std::uint64_t, CallTicket> m_by_key;
  std::map<std::pair<std::string, std::uint64_t>, SequenceWindow> m_windows;
  StepHook m_at_step;
  CallTicket m_last_ticket = 0;
  boost::asio::steady_timer m_tick;
  PauseDetector m_pause;
  std::function<void(bool)> m_on_leaving;
  std::unique_ptr<HealthChecker> m_watch;
  RunningCallIds* m_running = nullptr;
  std::optional<TimePoint> m_stop_end;
  bool m_stopping = false;
  bool m_closed = false;
};

}  // namespace yuccamast
