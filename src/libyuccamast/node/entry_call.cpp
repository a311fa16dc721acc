#include "node/entry_call.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "http/fields.h"
#include "log/log.h"

namespace yuccamast {

namespace {

/// Time after the deadline for which the entry still waits for the exit's
/// answer, which tells whether the call was run.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(10);

/// Delay before exits that refused because of a pause (`kPaused`) are offered
/// the call again.
constexpr Duration kPausedExitDelay = std::chrono::milliseconds(80);

/// Number of offers that are made regardless of load reports. Reports may be
/// out of date; the exit decides by its state when the offer arrives.
constexpr std::size_t kUnconditionalOffers = 2;
/// An offer, also the first, is made only if more time than this is left until
/// the deadline.
constexpr Duration kMinRemaining = std::chrono::milliseconds(1);

/// A caller's request id is used as the call's id up to this length, in bytes.
constexpr std::size_t kMaxRequestIdLength = 64;

/// Lowest HTTP status of a server error.
constexpr std::uint32_t kFirstServerErrorStatus = 500;

/// Whether an upstream's reply with this status counts as a failed attempt.
bool CountsAsFailedAttempt(std::uint32_t status) {
  return status == 500 || status == 502 || status == 503 || status == 504;
}

std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

EntryCall::EntryCall(EntryContext& context, CallerRequest request, Done done)
    : m_context(context),
      m_request(std::move(request)),
      m_done(std::move(done)),
      m_id(CallIdOf(context, m_request)),
      m_received_at(m_request.received_at),
      m_timer(context.io) {}

std::string EntryCall::CallIdOf(EntryContext& context,
                                const CallerRequest& request) {
  ++context.call_count;
  const std::string& field = context.settings.dialect->request_id_field;
  const std::string* id =
      field.empty() ? nullptr : FindField(request.fields, field);
  if (id != nullptr && !id->empty() && id->size() <= kMaxRequestIdLength) {
    return *id;
  }
  return context.settings.vm + "-" + context.boot_id_text + "-" +
         std::to_string(context.call_count);
}

void EntryCall::RunAfterStepHook(CallStep step, std::function<void()> proceed) {
  if (!m_context.at_step) {
    proceed();
    return;
  }
  m_context.at_step(
      step, m_request.target,
      [&io = m_context.io, self = shared_from_this(),
       proceed = std::move(proceed)] { asio::post(io, proceed); });
}

void EntryCall::Begin() {
  RunAfterStepHook(CallStep::kReceived, [self = shared_from_this()] {
    if (!self->m_finished) {
      self->MatchAndOffer();
    }
  });
}

void EntryCall::MatchAndOffer() {
  if (const auto reason = Match()) {
    Refuse(*reason);
    return;
  }
  m_state.TransitionTo(CallStep::kMatched);
  m_service->retry_budget->OnFirstAttempt(m_service->service.retry_share);
  ArmDeadline();
  RunAfterStepHook(CallStep::kMatched, [self = shared_from_this()] {
    if (!self->m_finished) {
      self->QueryLoadAndOffer(RefusalReason::kNoUpstream);
    }
  });
}

void EntryCall::ArmDeadline() {
  m_timer.expires_at(m_deadline + kDeadlineGrace);
  m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->OnDeadline();
        }
      });
}

void EntryCall::OfferToNext(RefusalReason if_none) {
  const TimePoint now = Clock::now();
  if (now + kMinRemaining >= m_deadline) {
    Refuse(m_may_have_run ? RefusalReason::kDeadlineUnknown
                          : RefusalReason::kDeadlineNotRun);
    return;
  }
  if (m_body_given_away) {
    EndWithoutSuccess(if_none);
    return;
  }
  if (!HasRoomForOffer()) {
    EndWithoutSuccess(RefusalReason::kMemoryFull);
    return;
  }
  const RandomHook random = [this] { return m_context.random(); };
  ChoiceContext choice;
  choice.now = now;
  choice.round_robin_turn = m_context.call_count;
  choice.queried = m_queried;
  choice.options = OptionsOfCall();
  choice.prior_others_in_flight = SamplePrior(m_service->candidates, random);
  if (m_service->service.cold_start > std::chrono::milliseconds::zero()) {
    choice.options.cold_start = m_service->service.cold_start;
  }
  auto member = Choose(m_service->service.policy, m_service->candidates,
                       m_tried, choice, random);
  if (!member && if_none == RefusalReason::kPaused && m_offers < kMaxOffers) {
    OfferAgainLater(if_none);
    return;
  }
  if (!member || m_offers >= kMaxOffers) {
    EndWithoutSuccess(if_none);
    return;
  }
  member = RequireStartRoom(*member, m_service->candidates, m_tried, now,
                            m_deadline, random);
  if (!member) {
    EndWithoutSuccess(m_offers == 0 ? RefusalReason::kColdLimit : if_none);
    return;
  }
  if (!IsWorthMoving(*member, if_none, now)) {
    EndWithoutSuccess(if_none);
    return;
  }
  m_state.TransitionTo(CallStep::kChosen);
  RunAfterStepHook(CallStep::kChosen,
                   [self = shared_from_this(), member = *member] {
                     if (!self->m_finished) {
                       self->Offer(member);
                     }
                   });
}

void EntryCall::EndWithoutSuccess(RefusalReason reason) {
  if (m_fallback) {
    Deliver(std::move(*m_fallback), Duration::zero());
    return;
  }
  Refuse(reason);
}

bool EntryCall::IsWorthMoving(std::size_t member,
                              RefusalReason refused_as,
                              TimePoint now) const {
  const bool for_load = refused_as == RefusalReason::kQueueFull ||
                        refused_as == RefusalReason::kColdLimit ||
                        refused_as == RefusalReason::kQueueTimeout;
  if (m_offers < kUnconditionalOffers || !for_load ||
      !m_context.settings.asks_load) {
    return true;
  }
  // The exits were queried for this call. If the chosen one is not expected to
  // answer in time, it is as loaded as the last one: its refusal would cost a
  // round trip and add no information.
  const TimePoint due = m_objective != TimePoint{} ? m_objective : m_deadline;
  const Candidate& candidate = m_service->candidates[member];
  return now + candidate.distance +
             candidate.state->EstimateCost(now, 0, OptionsOfCall()) <
         due;
}

Duration EntryCall::ReplyMargin(const Attempt& attempt) const {
  // The exit gets a deadline that is one round trip earlier, so that its answer
  // on a missed deadline arrives before this entry's own deadline.
  return std::min(attempt.link->round_trip(), (m_deadline - m_received_at) / 4);
}

OfferMessage EntryCall::BuildOffer(const Attempt& attempt) {
  OfferMessage offer;
  offer.origin = {m_context.settings.vm, m_context.boot_id,
                  attempt.link->NextSequence()};
  offer.call_id = m_id;
  offer.attempt = static_cast<std::uint32_t>(m_offers);
  offer.upstream = m_service->members[attempt.member].upstream;
  offer.rule = m_rule->name;
  offer.idempotent = m_rule->idempotent;
  offer.long_weight = m_rule->weight == WeightClass::kLong;
  offer.remaining_us = static_cast<std::int64_t>(
      ToMicroseconds(m_deadline - attempt.sent_at - ReplyMargin(attempt)));
  if (m_objective != TimePoint{}) {
    offer.objective_us = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::microseconds>(
               m_objective - attempt.sent_at - ReplyMargin(attempt))
               .count());
  }
  offer.urgency = m_rule->urgency;
  offer.nested = m_nested;
  offer.depth = m_depth + 1;
  offer.retry = m_ancestor_is_retry || m_may_have_run;
  offer.method = m_request.method;
  offer.target = m_request.target;
  offer.fields = EndToEndFields(m_request.fields);
  const std::string& caller_service_field =
      m_context.settings.dialect->caller_service_field;
  if (!caller_service_field.empty()) {
    SetField(offer.fields, caller_service_field, m_context.local_service());
  }
  offer.body = std::move(m_request.body);
  return offer;
}

void EntryCall::Offer(std::size_t member) {
  ++m_offers;
  m_tried.push_back(member);
  m_attempt = {};
  m_attempt.member = member;
  m_attempt.state = m_service->candidates[member].state;
  m_attempt.link = m_context.link_to(m_service->members[member].node);
  m_attempt.sent_at = Clock::now();
  m_attempt.open = true;
  m_attempt.report_age = m_attempt.state->ReportAge(m_attempt.sent_at);
  m_attempt.state->OnSent(m_attempt.sent_at);
  m_state.TransitionTo(CallStep::kOffered);
  OfferHooks hooks;
  hooks.on_answer = [self = shared_from_this()](StreamOutcome outcome,
                                                std::string bytes) {
    self->OnAnswer(outcome, std::move(bytes));
  };
  hooks.needs_live_connection = !m_rule->idempotent;
  hooks.on_suspect = [self = shared_from_this()] { self->OnSuspect(); };
  m_attempt.offer = m_attempt.link->Send(LinkPath::kCall, PackOffer(m_attempt),
                                         std::move(hooks));
}

void EntryCall::EndAttempt(AttemptEnd end) {
  if (!m_attempt.open) {
    return;
  }
  m_attempt.open = false;
  const TimePoint now = Clock::now();
  m_attempt.state->OnEnd(end, now - m_attempt.sent_at, now, {});
}

void EntryCall::OnAnswer(StreamOutcome outcome, std::string bytes) {
  if (m_finished) {
    return;
  }
  switch (outcome) {
    case StreamOutcome::kNotProcessed:
      EndAttempt(AttemptEnd::kFailed);
      OnRefusal(RefusalReason::kPeerUnreachable);
      return;
    case StreamOutcome::kLost:
      EndAttempt(AttemptEnd::kFailed);
      OnUnknownOutcome(RefusalReason::kPeerLost);
      return;
    case StreamOutcome::kAnswered:
      break;
  }
  auto answer = Unpack<AnswerMessage>(bytes);
  bytes = {};
  if (!answer) {
    EndAttempt(AttemptEnd::kFailed);
    OnUnknownOutcome(RefusalReason::kPeerLost);
    return;
  }
  OnAnswerMessage(std::move(*answer));
}

void EntryCall::OnAnswerMessage(AnswerMessage answer) {
  m_attempt.state->OnReport(answer.load, Clock::now());
  if (answer.refused) {
    const auto reason =
        RefusalFromValue(answer.reason).value_or(RefusalReason::kPeerLost);
    const bool unknown = InfoOf(reason).run_outcome == RunOutcome::kUnknown;
    const bool counts_as_failure =
        unknown || reason == RefusalReason::kUpstreamUnreachable;
    EndAttempt(counts_as_failure ? AttemptEnd::kFailed : AttemptEnd::kRefused);
    if (unknown) {
      OnUnknownOutcome(reason);
    } else {
      OnRefusal(reason);
    }
    return;
  }
  ++m_arrivals;
  const bool failed = CountsAsFailedAttempt(answer.reply.status);
  EndAttempt(failed ? AttemptEnd::kFailed : AttemptEnd::kAnswered);
  if (failed && m_rule->idempotent && TryBeginRetry()) {
    m_fallback = std::move(answer.reply);
    m_may_have_run = true;
    OfferToNext(RefusalReason::kNoUpstream);
    return;
  }
  Deliver(std::move(answer.reply),
          std::chrono::microseconds(answer.queue_us + answer.upstream_us));
}

void EntryCall::OnRefusal(RefusalReason reason) {
  if (m_may_have_run && !InfoOf(reason).movable) {
    OnUnknownOutcome(RefusalReason::kDeadlineUnknown);
    return;
  }
  if (!InfoOf(reason).movable) {
    Refuse(reason);
    return;
  }
  if (InfoOf(reason).reached_upstream) {
    ++m_arrivals;
    if (!TryTakeRetryToken()) {
      Refuse(reason);
      return;
    }
  }
  m_context.metrics.Add(Counter::kCallsMoved);
  LogDecision(LogLevel::kInfo, LogEvent::kCallMoved, InfoOf(reason).name);
  OfferToNext(reason);
}

void EntryCall::OfferAgainLater(RefusalReason reason) {
  // An exit admits calls again shortly after its process resumed from a pause.
  m_tried.clear();
  auto timer = std::make_shared<asio::steady_timer>(m_context.io);
  timer->expires_after(kPausedExitDelay);
  timer->async_wait([self = shared_from_this(), timer,
                     reason](const boost::system::error_code&) {
    if (!self->m_finished) {
      self->OfferToNext(reason);
    }
  });
}

bool EntryCall::TryTakeRetryToken() {
  if (m_arrivals >= m_rule->max_upstreams || m_offers >= kMaxOffers) {
    return false;
  }
  if (!m_service->retry_budget->TryTakeToken()) {
    m_context.metrics.Add(Counter::kRetriesDenied);
    return false;
  }
  return true;
}

bool EntryCall::TryBeginRetry() {
  if (m_ancestor_is_retry || m_body_given_away || !HasRoomForOffer() ||
      !TryTakeRetryToken()) {
    return false;
  }
  m_context.metrics.Add(Counter::kCallsRetried);
  LogDecision(LogLevel::kInfo, LogEvent::kCallRetried, "unknown_or_failed");
  return true;
}

void EntryCall::OnUnknownOutcome(RefusalReason reason) {
  ++m_arrivals;
  if (m_rule->idempotent && reason != RefusalReason::kDeadlineUnknown &&
      TryBeginRetry()) {
    m_may_have_run = true;
    OfferToNext(reason);
    return;
  }
  m_may_have_run = true;
  if (m_fallback) {
    Deliver(std::move(*m_fallback), Duration::zero());
    return;
  }
  Refuse(reason);
}

void EntryCall::OnSuspect() {
  if (m_finished || !m_attempt.open || !m_rule->idempotent) {
    return;
  }
  // The open offer counts before the retry is decided: it may be running.
  ++m_arrivals;
  if (!TryBeginRetry()) {
    --m_arrivals;
    return;
  }
  m_attempt.link->Cancel(m_attempt.offer);
  EndAttempt(AttemptEnd::kFailed);
  m_may_have_run = true;
  OfferToNext(RefusalReason::kPeerLost);
}

void EntryCall::OnDeadline() {
  if (m_finished) {
    return;
  }
  bool proven_not_run = !m_attempt.open;
  if (m_attempt.open) {
    proven_not_run = m_attempt.link->Cancel(m_attempt.offer);
    EndAttempt(AttemptEnd::kFailed);
  }
  Refuse(proven_not_run ? RefusalReason::kDeadlineNotRun
                        : RefusalReason::kDeadlineUnknown);
}

void EntryCall::OnCallerDisconnect() {
  if (m_finished) {
    m_done = nullptr;
    return;
  }
  if (m_attempt.open) {
    m_attempt.link->Cancel(m_attempt.offer);
    EndAttempt(AttemptEnd::kAbandoned);
  }
  m_done = nullptr;
  Finish();
}

void EntryCall::Deliver(HttpReply reply, Duration time_at_exit) {
  const Duration elapsed = Clock::now() - m_received_at;
  m_context.metrics.Record(Latency::kCall, elapsed);
  if (time_at_exit > Duration::zero()) {
    m_context.metrics.Record(Latency::kAdded, elapsed - time_at_exit);
  }
  m_state.TransitionTo(CallStep::kAnswered);
  ServiceRefusals().OnServed();
  if (reply.status >= kFirstServerErrorStatus) {
    RecordCallerFailure();
  }
  const bool ordinary = reply.status < kFirstServerErrorStatus && m_offers == 1;
  if (TakeLogToken(ordinary ? LogClass::kSample : LogClass::kDecision)) {
    Log(LogLevel::kInfo, LogEvent::kCallFinished,
        {{"call", m_id},
         {"rule", m_rule->name},
         {"status", reply.status},
         {"us", ToMicroseconds(elapsed)},
         {"upstream", m_service->members[m_attempt.member].upstream},
         {"vm", m_service->members[m_attempt.member].vm},
         {"attempt", m_offers},
         {"late", m_objective != TimePoint{} && Clock::now() > m_objective},
         {"config", m_view->config->revision}});
  }
  Finish();
  RunAfterStepHook(CallStep::kRelayed, [self = shared_from_this(),
                                        reply = std::move(reply)]() mutable {
    const Done done = std::move(self->m_done);
    self->m_done = nullptr;
    if (done) {
      done({self->m_id, std::move(reply)});
    }
  });
}

void EntryCall::Refuse(RefusalReason reason) {
  // The outcome must not be "not run" if an earlier offer may have been run.
  if (m_may_have_run && InfoOf(reason).run_outcome == RunOutcome::kNotRun) {
    reason = RefusalReason::kPeerLost;
  }
  m_state.TransitionTo(CallStep::kRefused);
  if (m_rule != nullptr && m_first_attempt_at != TimePoint{}) {
    RecordCallerFailure();
  }
  LogDecision(LogLevel::kWarning, LogEvent::kCallRefused, InfoOf(reason).name,
              NameOf(InfoOf(reason).run_outcome));
  const std::optional<Duration> retry_after = CountRefusal(reason);
  const Done done = std::move(m_done);
  m_done = nullptr;
  Finish();
  done({m_id, reason, retry_after});
}

void EntryCall::Finish() {
  if (m_finished) {
    return;
  }
  m_finished = true;
  m_timer.cancel();
  m_state.TransitionTo(CallStep::kFinished);
  if (on_finished) {
    on_finished(this);
  }
}

}  // namespace yuccamast
