#include "node/exit_calls.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "http/fields.h"
#include "log/log.h"
#include "node/exit_call.h"
#include "outcome/injected_fault.h"

namespace yuccamast {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kPauseGap = std::chrono::milliseconds(300);
constexpr Duration kSettle = std::chrono::milliseconds(50);
/// Time between two questions to the upstream's health page, where its load is
/// worth asking for, and where only a sign of draining is looked for.
constexpr Duration kLoadPeriod = std::chrono::milliseconds(100);
constexpr Duration kHealthPeriod = std::chrono::milliseconds(500);
/// A figure of load from a reply, this young, spares the question.
constexpr Duration kFreshLoad = std::chrono::milliseconds(80);
/// While calls are held for a slow spell, its end is looked for this often.
constexpr Duration kSpellLook = std::chrono::milliseconds(25);

/// The first status that says that the server failed.
constexpr std::uint32_t kFirstErrorStatus = 500;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

/// What a run of `service` would have taken on its machine as it usually is.
Duration AtUsualSpeed(Duration service, double slowed_by) {
  return Scaled(service, 1.0 / std::max(slowed_by, 1.0));
}
/// Lives of peers' processes whose sequence windows are kept.
constexpr std::size_t kMaxWindows = 8192;

}  // namespace

ExitCalls::ExitCalls(asio::io_context& io,
                     const NodeSettings& settings,
                     FleetViewStore& store,
                     Metrics& metrics,
                     MemoryBudget& budget,
                     std::uint64_t boot_id)
    : m_io(io),
      m_settings(settings),
      m_store(store),
      m_metrics(metrics),
      m_budget(budget),
      m_boot_id(boot_id),
      m_admission(AdmissionLimits{}),
      m_ask_timer(io),
      m_tick(io),
      m_pause(kPauseGap, kSettle, Clock::now()) {
  if (settings.upstream_port != 0) {
    m_upstream = std::make_unique<UpstreamPool>(
        io,
        tcp::endpoint(asio::ip::make_address(settings.upstream_ip),
                      settings.upstream_port),
        settings.upstream_limits, *settings.dialect, metrics);
    HealthCheckerHooks hooks;
    hooks.on_draining_changed = [this](bool draining) { OnDraining(draining); };
    hooks.on_health = [this](const HealthStatus& word,
                             const std::optional<UpstreamLoad>& load) {
      OnHealthWord(word, load);
    };
    hooks.skip_probe = [this] {
      return m_speed.ReadingAge(Clock::now()) < kFreshLoad;
    };
    m_watch = std::make_unique<HealthChecker>(
        io, m_upstream->endpoint(), settings.health_path,
        settings.asks_load ? kLoadPeriod : kHealthPeriod, *settings.dialect,
        metrics, std::move(hooks));
  }
}

void ExitCalls::Start() {
  ArmTick();
  if (m_watch != nullptr) {
    m_watch->Start();
  }
}

ExitCalls::~ExitCalls() = default;

void ExitCalls::CheckPause(TimePoint now) {
  const Duration pause = m_pause.Check(now);
  if (pause == Duration::zero()) {
    return;
  }
  m_metrics.Add(Counter::kPauses);
  Log(LogLevel::kWarning, LogEvent::kPauseNoticed,
      {{"face", "exit"}, {"ms", ToMicroseconds(pause) / 1000}});
  std::ranges::for_each(m_admission.ClearQueue(), [this](CallTicket ticket) {
    const CallPtr call = m_calls.at(ticket);
    RefuseCall(call, RefusalReason::kPaused);
  });
}

std::optional<RefusalReason> ExitCalls::CheckOffer(const OfferMessage& offer,
                                                   TimePoint now) {
  if (offer.version != kLinkVersion || !IsMine(offer.upstream)) {
    return RefusalReason::kWrongUpstream;
  }
  const auto origin = std::pair(offer.origin.vm, offer.origin.boot_id);
  if (m_windows.size() >= kMaxWindows && !m_windows.contains(origin)) {
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
  if (m_pause.IsSettling(now)) {
    return RefusalReason::kPaused;
  }
  if (offer.depth > m_settings.max_depth) {
    return RefusalReason::kDepthExceeded;
  }
  return std::nullopt;
}

void ExitCalls::AtStep(CallStep step,
                       const std::string& target,
                       std::function<void()> go) {
  if (!m_at_step) {
    go();
    return;
  }
  m_at_step(step, target, [this, go = std::move(go)] { asio::post(m_io, go); });
}

void ExitCalls::Offer(const std::string& bytes,
                      const StreamResponder& reply,
                      std::uint64_t key) {
  const TimePoint now = Clock::now();
  CheckPause(now);
  m_metrics.Add(Counter::kOffersReceived);
  auto offer = Unpack<OfferMessage>(bytes);
  if (!offer) {
    m_metrics.Add(Counter::kControlMessagesRefused);
    reply.Refuse();
    return;
  }
  const std::string target = offer->target;
  AtStep(CallStep::kOffered, target,
         [this, offer = std::move(*offer), reply, key] {
           if (reply.open()) {
             Process(offer, reply, key);
           }
         });
}

void ExitCalls::Process(OfferMessage offer,
                        const StreamResponder& reply,
                        std::uint64_t key) {
  const TimePoint now = Clock::now();
  RefreshLimits();
  if (const auto reason = CheckOffer(offer, now)) {
    LogRefusedOffer(offer, *reason);
    AnswerRefusal(reply, *reason);
    return;
  }
  auto call = std::make_shared<Call>(m_io, reply, m_budget);
  if (!call->memory.GrowTo(offer.body.size())) {
    AnswerRefusal(reply, RefusalReason::kMemoryFull);
    return;
  }
  call->ticket = ++m_last_ticket;
  call->key = key;
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
  request.expected_service =
      Scaled(m_work.Expected(call->offer.rule), std::max(1.0, PaceNow(now)));
  const AdmissionDecision decision = m_admission.Offer(request, now);
  if (decision.verdict == AdmissionVerdict::kRefused) {
    LogRefusedOffer(call->offer, decision.reason);
    AnswerRefusal(call->reply, decision.reason);
    return;
  }
  if (decision.displaced) {
    const CallPtr loser = m_calls.at(*decision.displaced);
    RefuseCall(loser, RefusalReason::kQueueFull);
  }
  m_metrics.Add(Counter::kOffersAdmitted);
  m_calls[call->ticket] = call;
  m_by_key[call->key] = call->ticket;
  if (decision.verdict == AdmissionVerdict::kStart) {
    call->has_slot = true;
    ArmDeadline(call);
    AtStep(CallStep::kAdmitted, call->offer.target, [this, call] {
      if (call->life.step() == CallStep::kAdmitted) {
        StartRun(call);
      }
    });
  } else if (m_admission.queued() == 1) {
    ArmTick();
  }
}

UpstreamRequest ExitCalls::BuildRequest(Call& call) const {
  UpstreamRequest request;
  request.method = call.offer.method;
  request.target = call.offer.target;
  request.fields = std::move(call.offer.fields);
  request.body = std::move(call.offer.body);
  request.idempotent = call.offer.idempotent;
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           call.deadline - Clock::now())
                           .count();
  const Dialect& dialect = *m_settings.dialect;
  if (!dialect.request_id_field.empty()) {
    const std::string* id = FindField(request.fields, dialect.request_id_field);
    request.request_id = id == nullptr ? "" : *id;
  }
  SetField(request.fields, dialect.deadline_field,
           std::to_string(std::max<long>(left_ms, 1)));
  if (!dialect.expected_upstream_field.empty()) {
    SetField(request.fields, dialect.expected_upstream_field,
             call.offer.upstream);
  }
  if (dialect.uses_yuccamast_fields) {
    SetField(request.fields, kCallIdField, call.offer.call_id);
    SetField(request.fields, kDepthField, std::to_string(call.offer.depth));
    if (call.offer.retry) {
      SetField(request.fields, kRetryField, "1");
    }
  }
  return request;
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
    if (!call->life.TryStart()) {
      return false;
    }
    call->started_at = Clock::now();
    if (m_running != nullptr) {
      call->running_place = m_running->Add(call->offer.call_id);
    }
    call->slowed_by = m_speed.At(call->started_at).factor;
    m_metrics.Add(Counter::kRunsStarted);
    m_metrics.Record(Latency::kQueue, call->started_at - call->received_at);
    return true;
  };
  hooks.reply_head = [call] { call->head_seen = true; };
  hooks.done = [this, call](UpstreamResult result) {
    OnRunDone(call, std::move(result));
  };
  call->run = m_upstream->Run(BuildRequest(*call), std::move(hooks));
}

void ExitCalls::OnRunDone(const CallPtr& call, UpstreamResult result) {
  AtStep(CallStep::kAnswered, call->offer.target,
         [this, call, result = std::move(result)] {
           if (m_calls.contains(call->ticket)) {
             FinishRun(call, result);
           }
         });
}

void ExitCalls::FinishRun(const CallPtr& call, UpstreamResult result) {
  const TimePoint now = Clock::now();
  HttpReply* whole = std::get_if<HttpReply>(&result);
  if (whole != nullptr && m_settings.dialect->indicates_leaving(*whole)) {
    m_watch->OnLeavingReply();
  }
  const Duration service = now - call->started_at;
  const bool started = call->life.step() == CallStep::kStarted;
  if (whole == nullptr && IsFaultInjected(InjectedFault::kSlotLeak)) {
    call->has_slot = false;
  }
  ReleaseSlot(call, started && whole != nullptr && whole->status < 500);
  AnswerMessage answer;
  if (whole != nullptr) {
    if (const auto load = m_settings.dialect->parse_load(*whole)) {
      OnLoad(*load, now);
    }
    if (whole->status < kFirstErrorStatus) {
      const Duration usual = AtUsualSpeed(service, call->slowed_by);
      m_pace.OnEnded(usual, m_work.Expected(call->offer.rule), now);
      m_work.AddSample(call->offer.rule, usual);
    }
    m_metrics.Add(Counter::kRunsFinished);
    m_metrics.Record(Latency::kUpstream, service);
    call->life.TransitionTo(CallStep::kAnswered);
    answer.reply = std::move(*whole);
    answer.queue_us = ToMicroseconds(call->started_at - call->received_at);
    answer.upstream_us = ToMicroseconds(service);
  } else {
    const auto reason = std::get<RefusalReason>(result);
    LogRun(*call, LogEvent::kUpstreamFault, InfoOf(reason).name);
    call->life.TransitionTo(CallStep::kRefused);
    answer.refused = true;
    answer.reason = static_cast<std::uint8_t>(reason);
  }
  if (!call->told) {
    call->told = true;
    answer.load = Report();
    call->reply.Answer(Pack(answer));
  }
  Discard(call);
  StartQueued();
}

void ExitCalls::ReleaseSlot(const CallPtr& call, bool counts) {
  if (!call->has_slot) {
    return;
  }
  call->has_slot = false;
  std::optional<Duration> service;
  if (counts) {
    service = AtUsualSpeed(Clock::now() - call->started_at, call->slowed_by);
  }
  m_admission.Release(call->ticket, service);
}

void ExitCalls::Discard(const CallPtr& entry) {
  // The argument may be the very entry that is erased.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const CallPtr call = entry;
  if (m_running != nullptr) {
    m_running->Remove(call->running_place);
  }
  call->deadline_timer.cancel();
  call->life.TransitionTo(CallStep::kFinished);
  m_by_key.erase(call->key);
  m_calls.erase(call->ticket);
  call->run.reset();
}

void ExitCalls::RefuseCall(const CallPtr& call, RefusalReason reason) {
  LogRun(*call, LogEvent::kOfferRefused, InfoOf(reason).name);
  call->life.TransitionTo(CallStep::kRefused);
  if (!call->told) {
    call->told = true;
    AnswerRefusal(call->reply, reason);
  }
  Discard(call);
}

void ExitCalls::OnDeadline(const CallPtr& call) {
  if (!m_calls.contains(call->ticket)) {
    return;
  }
  if (call->life.TryCancel()) {
    // It had a slot and was connecting, but nothing was written yet.
    if (call->run != nullptr) {
      call->run->Abort();
    }
    ReleaseSlot(call, false);
    RefuseCall(call, RefusalReason::kDeadlineNotRun);
    StartQueued();
    return;
  }
  const bool first = !call->told;
  if (first) {
    const TimePoint now = Clock::now();
    m_pace.OnEnded(AtUsualSpeed(now - call->started_at, call->slowed_by),
                   m_work.Expected(call->offer.rule), now);
    call->told = true;
    AnswerRefusal(call->reply, IsFaultInjected(InjectedFault::kFalseClaim)
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

void ExitCalls::Cancel(std::uint64_t key) {
  const auto found = m_by_key.find(key);
  if (found == m_by_key.end() || IsFaultInjected(InjectedFault::kLostCancel)) {
    return;
  }
  const CallPtr call = m_calls.at(found->second);
  LogRun(*call, LogEvent::kRunCancelled, "given_up_by_entry");
  call->told = true;
  if (call->life.TryCancel()) {
    m_admission.Remove(call->ticket);
    if (call->run != nullptr) {
      call->run->Abort();
    }
  } else if (call->offer.idempotent) {
    call->run->Abort();
  } else {
    return;  // It has begun and may not be broken off; the slot is in use.
  }
  ReleaseSlot(call, false);
  Discard(call);
  StartQueued();
}

void ExitCalls::StartQueued() {
  while (const auto ticket = m_admission.StartNext(Clock::now())) {
    const CallPtr call = m_calls.at(*ticket);
    call->has_slot = true;
    ArmDeadline(call);
    StartRun(call);
  }
}

void ExitCalls::ArmTick() {
  m_tick.expires_after(
      m_admission.queued() > 0 ? kTick : std::chrono::milliseconds(50));
  m_tick.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_closed) {
      OnTick();
    }
  });
}

void ExitCalls::OnTick() {
  const TimePoint now = Clock::now();
  CheckPause(now);
  RefreshLimits();
  const VmSpeed machine = m_speed.At(now);
  m_admission.SetVmSpeed(machine);
  if (machine.factor > 1.0 && m_admission.queued() > 0 &&
      m_speed.ReadingAge(now) >= kSpellLook) {
    m_watch->ProbeNow();
  }
  std::ranges::for_each(m_admission.Expire(now), [&](const ExpiredCall& item) {
    const CallPtr call = m_calls.at(item.ticket);
    RefuseCall(call, item.reason);
  });
  StartQueued();
  ArmTick();
}

void ExitCalls::StartLeaving() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  Log(LogLevel::kInfo, LogEvent::kNodeLeaving, {{"calls", m_calls.size()}});
}

void ExitCalls::Close() {
  m_closed = true;
  m_tick.cancel();
  TellAskers();
  if (m_upstream != nullptr) {
    m_watch->Stop();
    m_upstream->CloseIdle();
  }
}

}  // namespace yuccamast
