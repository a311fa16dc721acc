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
#include "http/upstream_pool.h"
#include "link/server.h"
#include "log/log.h"
#include "memory/memory_budget.h"
#include "node/fleet_view.h"
#include "node/reply_sizes.h"
#include "node/running_call_ids.h"
#include "node/settings.h"
#include "outcome/step_hook.h"
#include "yuccamast/admission/admission.h"
#include "yuccamast/admission/return_ramp.h"
#include "yuccamast/admission/service_time_estimator.h"
#include "yuccamast/admission/vm_speed_tracker.h"
#include "yuccamast/membership/pause_detector.h"
#include "yuccamast/outcome/call_state_machine.h"
#include "yuccamast/outcome/sequence_window.h"

/// \file exit_calls.h
/// Admission, queueing and execution of the calls offered to an exit.
///
/// The input is offers (`OfferMessage`) from the entries of nodes. Each offer
/// gets one `AnswerMessage`: the whole reply of the upstream, or a refusal with
/// its reason; both carry a `LoadReport`. An offer that the entry has
/// cancelled, or whose connection is lost, gets none.
///
/// An offer is checked first: protocol version, name of the upstream, repeated
/// or late sequence number (one `SequenceWindow` for each offering process),
/// leaving, an emptied data centre, a recent pause of this process, nesting
/// depth, memory budget.
/// `Admission` then starts it, queues it, or refuses it. The steps of a call
/// are admitted, started, answered, refused or cancelled, and finished; see
/// `CallStateMachine`. A call counts as started from `TryStart` on, which runs
/// in the `start` hook right before the first byte is written to the upstream;
/// a cancellation or deadline before it proves that the call was not run.
///
/// When the deadline of a started call passes, the entry gets the refusal
/// `deadline_unknown`. An idempotent run is then aborted. A non-idempotent one
/// goes on, and holds its slot, for up to `UpstreamLimits::overrun` more.
///
/// Service times are averaged by rule after division by the VM's slowdown at
/// the start of the run (`VmSpeedTracker`, from the upstream's own load
/// readings). `SlowdownEstimator` gives the slowdown that remains; it scales
/// the expected service time of new calls and the reported service time.
///
/// Starts at an upstream that may be cold are limited (`ColdStartLimiter`), and
/// grow step by step when it takes load again (`ReturnRamp`), if its service
/// names a limit for cold upstreams.
///
/// Everything runs on one thread, so the counts of slots and queued calls are
/// exact and no locks are needed. The number of calls held is bounded by the
/// slots and the queue length in force; a queued call whose time is over is
/// refused within one tick.

namespace yuccamast {

/// All calls held by one exit; see the file comment. Use from the thread of its
/// io_context only.
class ExitCalls {
 public:
  /// Receives the report that `RequestFreshReport` asked for.
  using ReportDone = std::function<void(const LoadReport&)>;

  /// The references must outlive the object. `boot_id` identifies this run of
  /// the process in load reports. With `upstream_port` 0 in the settings there
  /// is no upstream, and every offer is refused.
  ExitCalls(boost::asio::io_context& io,
            const NodeSettings& settings,
            FleetViewStore& view_store,
            Metrics& metrics,
            MemoryBudget& budget,
            std::uint64_t boot_id);
  ~ExitCalls();

  /// Starts the periodic tick, which expires queued calls, and the health
  /// probes of the upstream. Call once.
  void Start();

  /// Handles an offer: `bytes` is the packed `OfferMessage` that a peer sent.
  /// `stream_key` identifies the offer in `Cancel`; it is unique among the open
  /// streams. The stream of a malformed message is refused.
  void Offer(std::string bytes,
             const StreamResponder& responder,
             std::uint64_t stream_key);

  /// Cancels an offer: the entry gave it up or its connection was lost. Aborts
  /// the call unless it is a started, non-idempotent run. Unknown keys are
  /// ignored.
  void Cancel(std::uint64_t stream_key);

  /// Sets a test hook that may delay a call at each step; set before the first
  /// offer.
  void SetStepHook(StepHook hook) { m_at_step = std::move(hook); }

  /// Sets the table in which the ids of running calls are kept, or null for
  /// none; set before the first offer.
  void SetRunningCallIds(RunningCallIds* running) {
    m_running_call_ids = running;
  }

  /// Sets the hook that is called with `leaving()` when the upstream starts or
  /// stops draining; set before `Start`.
  void SetLeavingHook(std::function<void(bool leaving)> hook) {
    m_on_leaving = std::move(hook);
  }

  /// From now on refuses offers whose deadline is after `end`, the time by
  /// which the node will have stopped.
  void AdmitOnlyUntil(TimePoint end) { m_stop_end = end; }

  /// Starts the planned stop: new offers are refused, calls held go on. Further
  /// calls of the method have no effect.
  void StartLeaving();

  /// Whether new offers are refused because the node is stopping, the upstream
  /// is draining, or the platform's list says that the upstream is leaving.
  bool leaving() const {
    return m_stopping || IsUpstreamDraining() || m_listed_leaving;
  }

  /// Whether no call is held, neither queued nor running.
  bool Drained() const { return m_calls.empty(); }

  /// Stops the tick and the health probes, sends pending reports and closes
  /// idle connections to the upstream. Does not end the calls held.
  void Close();

  /// The load of the exit and its upstream now.
  LoadReport MakeReport() const;

  /// Calls `done` with a report that includes a fresh reading of the upstream's
  /// load. If the last reading is too old, the health page is probed; after a
  /// few milliseconds without an answer, `done` gets the report with the older
  /// reading. `done` may run before this method returns.
  void RequestFreshReport(ReportDone done);

  /// State of the exit and of the calls held, for the control dump.
  JsonValue ToJson() const;

  /// Ids of the calls held, for the log when a planned stop exceeds its time.
  std::vector<std::string> CallIds() const;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  /// Passes the step to the test hook and runs `proceed` when the hook resumes
  /// the call. Without a hook, runs `proceed` at once.
  void RunAfterStepHook(CallStep step,
                        const std::string& target,
                        std::function<void()> proceed);
  void ProcessOffer(OfferMessage offer,
                    const StreamResponder& responder,
                    std::uint64_t stream_key);
  void ArmDeadline(const CallPtr& call);
  void FinishRun(const CallPtr& call, UpstreamResult result);
  /// Why the offer is refused before admission, or nothing if it may go on.
  /// Marks the sequence number of the offer as seen, unless its version or
  /// upstream is wrong.
  std::optional<RefusalReason> CheckOffer(const OfferMessage& offer,
                                          TimePoint now);
  void Admit(const CallPtr& call, TimePoint now);
  void StartRun(const CallPtr& call);
  void OnRunDone(const CallPtr& call, UpstreamResult result);
  /// Called at the deadline, and again at the end of the overrun of a started,
  /// non-idempotent run.
  void OnDeadline(const CallPtr& call);
  void StartQueued();
  void LogRefusedOffer(const OfferMessage& offer,
                       RefusalReason reason,
                       ShortRoom short_room = ShortRoom::kNone) const;
  void LogCallEvent(const Call& call,
                    LogEvent event,
                    std::string_view reason) const;
  void AnswerRefusal(const StreamResponder& responder,
                     RefusalReason reason) const;
  /// Refuses and discards a call. Precondition: it holds no slot any more.
  void RefuseCall(const CallPtr& call, RefusalReason reason);
  /// Removes the call from all tables.
  void Discard(const CallPtr& held_call);
  /// Whether there is memory for the reply to a call of the rule.
  bool HasRoomForReply(const std::string& rule) const;
  /// Whether there is for that of any queued call.
  bool HasRoomForQueued() const;
  /// Releases the slot, if the call holds one. `counts_as_sample`: its service
  /// time goes into the averages.
  void ReleaseSlot(const CallPtr& call, bool counts_as_sample);
  void ArmTick();
  void OnTick();
  /// Refuses all queued calls if this thread did not run for a while: what was
  /// queued before such a pause may be obsolete.
  void CheckPause(TimePoint now);
  /// Applies the limits of the newest configuration, and whether the operator
  /// has emptied this data centre.
  void RefreshLimits();
  /// When the data centre is emptied, refuses all queued calls; running ones go
  /// on. Calls `OnDataCentreReturned` when it is taken back.
  void UpdateEvacuated(bool evacuated, TimePoint now);
  /// The data centre was emptied and is taken back: from `now` on, the rate of
  /// starts grows step by step, see `ReturnRamp`. No effect on an upstream
  /// whose service names no limit for cold ones.
  void OnDataCentreReturned(TimePoint now);
  UpstreamRequest BuildRequest(Call& call) const;
  bool IsUpstreamDraining() const {
    return m_health_checker != nullptr && m_health_checker->draining();
  }
  void OnDraining(bool draining);
  /// Whether `upstream` names the upstream beside this node.
  bool IsLocalUpstream(const std::string& upstream) const;
  /// Takes a load reading that came with a reply or from the health page.
  void OnLoad(const UpstreamLoad& load, TimePoint now);
  /// Calls all `m_report_waiters`.
  void SendPendingReports();
  /// Factor by which calls now take longer than usual, not counting the
  /// slowdown of the VM.
  double EstimateSlowdown(TimePoint now) const;
  /// Takes what a reply says of the upstream's rate limit. `sent_at`: when its
  /// request was sent.
  void OnRateLimit(const RateLimit& limit, TimePoint sent_at, bool is_health);
  /// Limits the starts until a reply tells the limit of the upstream.
  void ResetRateLimit();
  /// Probes the health page while that limit holds, and lifts it if no reply
  /// came for too long.
  void ExpireUnknownRateLimit(TimePoint now);
  /// Takes the limit that the upstream names; nothing: none.
  void SetNamedLimit(const RateLimit& limit, std::string_view source);
  /// Limits the starts to the lowest of the rates named by the upstream, borne
  /// by a cold one, and allowed while it takes load again.
  void ApplyStartRate(std::string_view source);
  /// Takes what the health page says of the cold time, in reply to a probe sent
  /// at `asked_at`.
  void OnColdTime(const Result<ColdTime, ColdTimeError>& cold,
                  TimePoint asked_at);
  void OnCold(Duration remaining, TimePoint now);
  void OnWarm(TimePoint asked_at, TimePoint now);
  /// Advances the ramp, and probes the health page if the starts that may be
  /// at a cold upstream need it.
  void UpdateColdStarts(TimePoint now);
  /// Fills in what the report says of limited starts.
  void ReportColdStarts(LoadReport& report, TimePoint now) const;
  void OnHealthStatus(const HealthStatus& health,
                      const std::optional<UpstreamLoad>& load);

  boost::asio::io_context& m_io;
  const NodeSettings& m_settings;
  FleetViewStore& m_view_store;
  Metrics& m_metrics;
  MemoryBudget& m_budget;
  const std::uint64_t m_boot_id;
  Admission m_admission;
  std::unique_ptr<UpstreamPool> m_upstream;
  std::shared_ptr<const FleetView> m_limits_view;  ///< Of the limits in force.
  ServiceTimeEstimator m_service_times;
  ReplySizes m_reply_sizes;
  VmSpeedTracker m_vm_speed;
  mutable SlowdownEstimator m_slowdown;      ///< Mutable: decays when read.
  std::vector<ReportDone> m_report_waiters;  ///< Wait for a load reading.
  boost::asio::steady_timer m_report_timer;  ///< Bounds that wait.
  /// Name that the upstream last gave on its health page; empty: none yet.
  std::string m_reported_upstream;
  TimePoint m_last_health_at{};       ///< Last reply of the health page.
  TimePoint m_limit_named_at{};       ///< Last reply that named a rate limit.
  bool m_health_names_limit = false;  ///< Health replies name the limit, too.
  bool m_limit_known = false;  ///< A reply has told whether there is one.
  TimePoint m_limit_unknown_since{};
  RateLimit m_named_limit;  ///< By the upstream.
  ReturnRamp m_return_ramp;
  std::string m_refused_cold_time;  ///< Text last logged as refused.
  TimePoint m_unproven_reply_at{};  ///< Health reply without a cold time.
  bool m_listed_leaving = false;    ///< Leaving by the platform's list.
  bool m_evacuated = false;  ///< The operator has emptied the data centre.
  std::unordered_map<CallTicket, CallPtr> m_calls;
  std::unordered_map<std::uint64_t, CallTicket> m_tickets;  ///< By stream key.
  /// Sequence numbers seen, by VM and boot id of the offering process.
  std::map<std::pair<std::string, std::uint64_t>, SequenceWindow> m_windows;
  StepHook m_at_step;
  CallTicket m_last_ticket = 0;
  boost::asio::steady_timer m_tick_timer;
  PauseDetector m_pause_detector;
  std::function<void(bool)> m_on_leaving;
  std::unique_ptr<HealthChecker> m_health_checker;
  RunningCallIds* m_running_call_ids = nullptr;
  std::optional<TimePoint> m_stop_end;  ///< See `AdmitOnlyUntil`.
  bool m_stopping = false;
  bool m_closed = false;
};

}  // namespace yuccamast
