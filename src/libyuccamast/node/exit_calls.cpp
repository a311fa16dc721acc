#include "node/exit_calls.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "http/fields.h"
#include "log/log.h"
#include "node/exit_call.h"
#include "outcome/injected_fault.h"

namespace yuccamast {

namespace {

/// A longer gap between checks is a pause; offers are then refused for a while.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(300);
constexpr Duration kPauseSettleTime = std::chrono::milliseconds(50);
/// Period of the health probes, if they also read the upstream's load
/// (`asks_load`), and if they only detect that it is draining.
constexpr Duration kLoadProbePeriod = std::chrono::milliseconds(100);
constexpr Duration kHealthProbePeriod = std::chrono::milliseconds(500);
/// A periodic probe is skipped while the last load reading is younger than
/// this.
constexpr Duration kFreshLoadAge = std::chrono::milliseconds(80);
/// Period of the probes while no call is held. Nothing depends on the reading
/// then: load queries ask for a fresh one themselves.
constexpr Duration kIdleProbePeriod = std::chrono::milliseconds(450);
constexpr std::uint32_t kFirstServerErrorStatus = 500;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

/// Service time at the VM's usual speed; `vm_slowdown` is its slowdown factor.
Duration Normalize(Duration service_time, double vm_slowdown) {
  return Scale(service_time, 1.0 / std::max(vm_slowdown, 1.0));
}
/// Maximum number of sequence windows; one more offering process clears them.
constexpr std::size_t kMaxSequenceWindows = 8192;

}  // namespace

ExitCalls::ExitCalls(asio::io_context& io,
                     const NodeSettings& settings,
                     FleetViewStore& view_store,
                     Metrics& metrics,
                     MemoryBudget& budget,
                     std::uint64_t boot_id)
    : m_io(io),
      m_settings(settings),
      m_view_store(view_store),
      m_metrics(metrics),
      m_budget(budget),
      m_boot_id(boot_id),
      m_admission(AdmissionLimits{}),
      m_report_timer(io),
      m_tick_timer(io),
      m_pause_detector(kPauseThreshold, kPauseSettleTime, Clock::now()) {
  if (settings.upstream_port != 0) {
    m_upstream = std::make_unique<UpstreamPool>(
        io,
        tcp::endpoint(asio::ip::make_address(settings.upstream_ip),
                      settings.upstream_port),
        settings.upstream_limits, *settings.dialect, metrics, budget);
    HealthCheckerHooks hooks;
    hooks.on_draining_changed = [this](bool draining) { OnDraining(draining); };
    hooks.on_health = [this](const HealthStatus& health,
                             const std::optional<UpstreamLoad>& load) {
      OnHealthStatus(health, load);
    };
    hooks.on_rate_limit = [this](const RateLimit& limit, TimePoint sent_at) {
      OnRateLimit(limit, sent_at, true);
    };
    hooks.on_cold_time = [this](const auto& cold, TimePoint asked_at) {
      OnColdTime(cold, asked_at);
    };
    hooks.skip_probe = [this] {
      const TimePoint now = Clock::now();
      const bool recent = now - m_last_health_at < kIdleProbePeriod;
      // Only the health page tells whether the upstream is cold.
      return (m_vm_speed.ReadingAge(now) < kFreshLoadAge &&
              (recent || m_admission.cold_starts().limit() <= 0)) ||
             (m_calls.empty() && recent);
    };
    m_health_checker = std::make_unique<HealthChecker>(
        io, m_upstream->endpoint(), settings.health_path,
        settings.asks_load ? kLoadProbePeriod : kHealthProbePeriod,
        *settings.dialect, metrics, std::move(hooks));
  }
}

void ExitCalls::Start() {
  ResetRateLimit();
  m_admission.cold_starts().OnRestart(Clock::now());
  ArmTick();
  if (m_health_checker != nullptr) {
    m_health_checker->Start();
  }
}

ExitCalls::~ExitCalls() = default;

std::optional<RefusalReason> ExitCalls::CheckOffer(const OfferMessage& offer,
                                                   TimePoint now) {
  if (offer.version != kLinkVersion || !IsLocalUpstream(offer.upstream)) {
    return RefusalReason::kWrongUpstream;
  }
  const auto origin = std::pair(offer.origin.vm, offer.origin.boot_id);
  if (m_windows.size() >= kMaxSequenceWindows && !m_windows.contains(origin)) {
    m_windows.clear();
  }
  if (!m_windows[origin].Accept(offer.origin.sequence)) {
    m_metrics.Add(Counter::kOffersRepeated);
    return RefusalReason::kStaleOffer;
  }
  const auto end = now + std::chrono::microseconds(offer.remaining_us);
  if (leaving() || (m_stop_end && end > *m_stop_end)) {
    return RefusalReason::kLeaving;
  }
  if (m_evacuated) {
    return RefusalReason::kEvacuated;
  }
  if (m_pause_detector.IsSettling(now)) {
    return RefusalReason::kPaused;
  }
  if (offer.depth > m_settings.max_depth) {
    return RefusalReason::kDepthExceeded;
  }
  if (!HasRoomForReply(offer.rule)) {
    return RefusalReason::kMemoryFull;
  }
  return std::nullopt;
}

void ExitCalls::RunAfterStepHook(CallStep step,
                                 const std::string& target,
                                 std::function<void()> proceed) {
  if (!m_at_step) {
    proceed();
    return;
  }
  m_at_step(step, target, [this, proceed = std::move(proceed)] {
    asio::post(m_io, proceed);
  });
}

void ExitCalls::Offer(std::string bytes,
                      const StreamResponder& responder,
                      std::uint64_t stream_key) {
  const TimePoint now = Clock::now();
  CheckPause(now);
  m_metrics.Add(Counter::kOffersReceived);
  auto offer = Unpack<OfferMessage>(bytes);
  bytes = {};
  if (!offer) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    responder.Refuse();
    return;
  }
  const std::string target = offer->target;
  RunAfterStepHook(
      CallStep::kOffered, target,
      [this, offer = std::move(*offer), responder, stream_key]() mutable {
        if (responder.open()) {
          ProcessOffer(std::move(offer), responder, stream_key);
        }
      });
}

void ExitCalls::ProcessOffer(OfferMessage offer,
                             const StreamResponder& responder,
                             std::uint64_t stream_key) {
  const TimePoint now = Clock::now();
  RefreshLimits();
  if (const auto reason = CheckOffer(offer, now)) {
    LogRefusedOffer(offer, *reason);
    AnswerRefusal(responder, *reason);
    return;
  }
  auto call = std::make_shared<Call>(m_io, responder, m_budget);
  if (!call->memory.GrowTo(offer.body.size())) {
    AnswerRefusal(responder, RefusalReason::kMemoryFull);
    return;
  }
  call->ticket = ++m_last_ticket;
  call->stream_key = stream_key;
  call->received_at = now;
  call->deadline = now + std::chrono::microseconds(offer.remaining_us);
  call->offer = std::move(offer);
  Admit(call, now);
}

void ExitCalls::Admit(const CallPtr& call, TimePoint now) {
  AdmissionRequest request;
  request.ticket = call->ticket;
  request.deadline = call->deadline;
  request.weight =
      call->offer.long_weight ? WeightClass::kLong : WeightClass::kShort;
  request.idempotent = call->offer.idempotent;
  if (call->offer.objective_us > 0) {
    request.objective =
        call->received_at + std::chrono::microseconds(call->offer.objective_us);
  }
  request.urgency = call->offer.urgency;
  request.nested = call->offer.nested;
  request.expected_service = Scale(m_service_times.RuleMean(call->offer.rule),
                                   std::max(1.0, EstimateSlowdown(now)));
  request.service_deviation = m_service_times.RuleDeviation(call->offer.rule);
  request.kind = std::hash<std::string>{}(call->offer.rule);
  const AdmissionDecision decision = m_admission.Offer(request, now);
  if (decision.verdict == AdmissionVerdict::kRefused) {
    LogRefusedOffer(call->offer, decision.reason, decision.short_room);
    AnswerRefusal(call->responder, decision.reason);
    return;
  }
  if (decision.displaced) {
    const CallPtr displaced_call = m_calls.at(*decision.displaced);
    RefuseCall(displaced_call, RefusalReason::kQueueFull);
  }
  m_metrics.Add(Counter::kOffersAdmitted);
  m_calls[call->ticket] = call;
  m_tickets[call->stream_key] = call->ticket;
  if (decision.verdict == AdmissionVerdict::kStart) {
    call->has_slot = true;
    ArmDeadline(call);
    RunAfterStepHook(CallStep::kAdmitted, call->offer.target, [this, call] {
      if (call->state.step() == CallStep::kAdmitted) {
        StartRun(call);
      }
    });
  } else if (m_admission.queued() == 1) {
    ArmTick();
  }
}

void ExitCalls::ArmDeadline(const CallPtr& call) {
  call->deadline_timer.expires_at(call->deadline);
  call->deadline_timer.async_wait(
      [this, call](const boost::system::error_code& error) {
        if (!error) {
          OnDeadline(call);
        }
      });
}

void ExitCalls::StartRun(const CallPtr& call) {
  UpstreamHooks hooks;
  hooks.start = [this, call] {
    if (!call->state.TryStart()) {
      return false;
    }
    call->started_at = Clock::now();
    m_admission.OnSent(call->ticket, call->started_at);
    if (m_running_call_ids != nullptr) {
      call->running_index = m_running_call_ids->Add(call->offer.call_id);
    }
    call->vm_slowdown = m_vm_speed.At(call->started_at).factor;
    m_metrics.Add(Counter::kRunsStarted);
    m_metrics.Record(Latency::kQueue, call->started_at - call->received_at);
    UpdateColdStarts(call->started_at);
    return true;
  };
  hooks.reply_head = [call] { call->reply_head_read = true; };
  hooks.reply_read = [this, call](const HttpReply& reply) {
    if (m_settings.dialect->indicates_leaving(reply)) {
      m_health_checker->OnLeavingReply();
    }
    OnRateLimit(m_settings.dialect->parse_rate_limit(reply), call->started_at,
                false);
  };
  hooks.done = [this, call](UpstreamResult result) {
    OnRunDone(call, std::move(result));
  };
  call->run = m_upstream->Run(BuildRequest(*call), std::move(hooks));
  call->run->ExpectReply(m_reply_sizes.Of(call->offer.rule));
}

void ExitCalls::OnRunDone(const CallPtr& call, UpstreamResult result) {
  RunAfterStepHook(CallStep::kAnswered, call->offer.target,
                   [this, call, result = std::move(result)]() mutable {
                     if (m_calls.contains(call->ticket)) {
                       FinishRun(call, std::move(result));
                     }
                   });
}

void ExitCalls::FinishRun(const CallPtr& call, UpstreamResult result) {
  const TimePoint now = Clock::now();
  HttpReply* response = std::get_if<HttpReply>(&result);
  const Duration service_time = now - call->started_at;
  const bool started = call->state.step() == CallStep::kStarted;
  if (response == nullptr && IsFaultInjected(InjectedFault::kSlotLeak)) {
    call->has_slot = false;
  }
  ReleaseSlot(call, started && response != nullptr && response->status < 500);
  AnswerMessage answer;
  if (response != nullptr) {
    if (const auto load = m_settings.dialect->parse_load(*response)) {
      OnLoad(*load, now);
    }
    if (response->status < kFirstServerErrorStatus) {
      const Duration normalized = Normalize(service_time, call->vm_slowdown);
      m_slowdown.OnEnded(normalized, m_service_times.RuleMean(call->offer.rule),
                         now);
      m_service_times.AddSample(call->offer.rule, normalized);
    }
    m_reply_sizes.AddSample(call->offer.rule, response->body.size());
    m_metrics.Add(Counter::kRunsFinished);
    m_metrics.Record(Latency::kUpstream, service_time);
    call->state.TransitionTo(CallStep::kAnswered);
    answer.reply = std::move(*response);
    answer.queue_us = ToMicroseconds(call->started_at - call->received_at);
    answer.upstream_us = ToMicroseconds(service_time);
  } else {
    const auto reason = std::get<RefusalReason>(result);
    LogCallEvent(*call, LogEvent::kUpstreamFault, InfoOf(reason).name);
    call->state.TransitionTo(CallStep::kRefused);
    answer.refused = true;
    answer.reason = static_cast<std::uint8_t>(reason);
  }
  if (!call->reply_done) {
    call->reply_done = true;
    answer.load = MakeReport();
    std::string bytes =
        Pack(answer, PackedSizeHint(answer.reply.fields, answer.reply.body));
    answer.reply.body = {};
    call->responder.Answer(std::move(bytes));
  }
  Discard(call);
  StartQueued();
}

void ExitCalls::ReleaseSlot(const CallPtr& call, bool counts_as_sample) {
  if (!call->has_slot) {
    return;
  }
  call->has_slot = false;
  std::optional<Duration> service_time;
  if (counts_as_sample) {
    service_time =
        Normalize(Clock::now() - call->started_at, call->vm_slowdown);
  }
  m_admission.Release(call->ticket, service_time);
}

void ExitCalls::Discard(const CallPtr& held_call) {
  // `held_call` may refer to the entry of `m_calls` that is erased below.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const CallPtr call = held_call;
  if (m_running_call_ids != nullptr) {
    m_running_call_ids->Remove(call->running_index);
  }
  call->deadline_timer.cancel();
  call->state.TransitionTo(CallStep::kFinished);
  m_tickets.erase(call->stream_key);
  m_calls.erase(call->ticket);
  call->run.reset();
}

void ExitCalls::RefuseCall(const CallPtr& call, RefusalReason reason) {
  LogCallEvent(*call, LogEvent::kOfferRefused, InfoOf(reason).name);
  call->state.TransitionTo(CallStep::kRefused);
  if (!call->reply_done) {
    call->reply_done = true;
    AnswerRefusal(call->responder, reason);
  }
  Discard(call);
}

void ExitCalls::OnDeadline(const CallPtr& call) {
  if (!m_calls.contains(call->ticket)) {
    return;
  }
  if (call->state.TryCancel()) {
    // The call held a slot and was connecting; nothing was written yet.
    if (call->run != nullptr) {
      call->run->Abort();
    }
    ReleaseSlot(call, false);
    RefuseCall(call, RefusalReason::kDeadlineNotRun);
    StartQueued();
    return;
  }
  const bool first = !call->reply_done;
  if (first) {
    const TimePoint now = Clock::now();
    m_slowdown.OnEnded(Normalize(now - call->started_at, call->vm_slowdown),
                       m_service_times.RuleMean(call->offer.rule), now);
    call->reply_done = true;
    AnswerRefusal(call->responder, IsFaultInjected(InjectedFault::kFalseClaim)
                                       ? RefusalReason::kDeadlineNotRun
                                       : RefusalReason::kDeadlineUnknown);
  }
  if (first && !call->offer.idempotent) {
    call->deadline_timer.expires_after(m_settings.upstream_limits.overrun);
    call->deadline_timer.async_wait(
        [this, call](const boost::system::error_code& error) {
          if (!error) {
            OnDeadline(call);
          }
        });
    return;
  }
  call->run->Abort();
  ReleaseSlot(call, false);
  RefuseCall(call, RefusalReason::kDeadlineUnknown);
  StartQueued();
}

void ExitCalls::Cancel(std::uint64_t stream_key) {
  const auto found = m_tickets.find(stream_key);
  if (found == m_tickets.end() || IsFaultInjected(InjectedFault::kLostCancel)) {
    return;
  }
  const CallPtr call = m_calls.at(found->second);
  LogCallEvent(*call, LogEvent::kRunCancelled, "given_up_by_entry");
  call->reply_done = true;
  if (call->state.TryCancel()) {
    m_admission.Remove(call->ticket);
    if (call->run != nullptr) {
      call->run->Abort();
    }
  } else if (call->offer.idempotent) {
    call->run->Abort();
  } else {
    return;  // A started, non-idempotent run goes on and keeps its slot.
  }
  ReleaseSlot(call, false);
  Discard(call);
  StartQueued();
}

void ExitCalls::StartQueued() {
  // While there is no room for any reply, the queue waits: room may come with
  // the end of a run that is still counted.
  if (!HasRoomForQueued()) {
    return;
  }
  while (const auto ticket = m_admission.StartNext(Clock::now())) {
    const CallPtr call = m_calls.at(*ticket);
    call->has_slot = true;
    if (!HasRoomForReply(call->offer.rule)) {
      ReleaseSlot(call, false);
      RefuseCall(call, RefusalReason::kMemoryFull);
      continue;
    }
    ArmDeadline(call);
    StartRun(call);
  }
}

}  // namespace yuccamast
