#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/caller_connection.h"
#include "log/log.h"
#include "node/caller_retry_tracker.h"
#include "node/caller_timeout_estimator.h"
#include "node/fleet_view.h"
#include "node/load_query.h"
#include "node/peer_link.h"
#include "node/running_call_ids.h"
#include "node/settings.h"
#include "outcome/step_hook.h"
#include "yuccamast/balance/retry_after.h"
#include "yuccamast/balance/room.h"
#include "yuccamast/outcome/call_state_machine.h"

/// \file entry_call.h
/// One call at the entry, from the caller's request to its reply.
///
/// The call is matched with a rule and a service (entry_match.cpp), the load of
/// a few upstreams is queried (entry_load_query.cpp), one is chosen by the
/// service's balancing policy and the call is offered to the exit beside it.
/// The exit answers with the upstream's reply or a refusal; the call then ends,
/// or is offered to another upstream. The steps are those of
/// `CallStateMachine`. The caller gets exactly one reply, at the latest a
/// few milliseconds after the deadline, unless it disconnects first.
///
/// Moves and retries (an attempt is one offer of the call, unlike in
/// `CallerRetryTracker`, where it is one request of the caller):
/// - After a refusal that proves that the request was not run, the call may be
///   moved to another upstream, whether or not the rule is idempotent, up to
///   `kMaxOffers` offers in all. If the request had reached an upstream, the
///   move takes a token of the retry budget.
/// - A call reaches at most the rule's `max_upstreams` upstreams.
/// - An unknown outcome ends a non-idempotent call as `unknown`.
/// - An idempotent call with an unknown outcome or a server error is retried if
///   the retry budget allows it and no call above it is a retry, so that
///   retries don't multiply over the levels of nested calls.

namespace yuccamast {

/// Limit on the offers of one call, moves and retries together.
inline constexpr std::size_t kMaxOffers = 4;

/// Divides the calls of a rule among the parts of its split by weight.
///
/// Walks a low-discrepancy sequence (Weyl sequence with the golden ratio), so
/// that the shares hold over short spans too, unlike with random numbers. O(n)
/// in the number of parts. Not thread-safe.
class SplitSelector {
 public:
  /// `phase` is the start in the sequence; choose it at random for each thread.
  explicit SplitSelector(std::uint64_t phase) : m_position(phase) {}

  /// The part that the next call goes to. Precondition: some weight is not
  /// zero.
  const SplitPart& Next(const std::vector<SplitPart>& parts);

 private:
  std::uint64_t m_position;  ///< In the sequence, in units of 2^-64.
};

/// What the calls of one entry thread share. Used on that thread only.
struct EntryContext {
  boost::asio::io_context& io;
  const NodeSettings& settings;
  FleetViewStore& view_store;
  Metrics& metrics;
  std::string boot_id_text;   ///< In hexadecimal, for call ids.
  std::uint64_t boot_id = 0;  ///< Unique to this thread of this process.
  /// Calls received so far, for call ids and `kRoundRobin`.
  std::uint64_t call_count = 0;
  std::mt19937_64 random;
  /// By name of the rule.
  std::map<std::string, SplitSelector, std::less<>> split_selectors;
  CallerTimeoutEstimator caller_timeouts;
  CallerRetryTracker caller_retries;
  LoadQueryClient& load_query_client;
  /// The link to the node at an address, created on demand.
  std::function<std::shared_ptr<PeerLink>(const tcp::endpoint&)> link_to;
  /// Checks for a pause of the process. Returns whether the view is too old to
  /// route by.
  std::function<bool()> check_view_stale;
  const StepHook& at_step;
  /// Service of this VM according to the current settings.
  std::function<std::string()> local_service;
  /// Calls whose deadline is later are refused as leaving.
  std::function<TimePoint()> admit_until;
  /// Ids of the calls that run at the upstream beside this node.
  const RunningCallIds* running_call_ids = nullptr;
  MemoryBudget* budget = nullptr;  ///< Never null while calls are handled.
  /// Refusals for want of room, by name of the service.
  std::map<std::string, RefusalShare, std::less<>> refusals{};
};

/// Use from the entry's thread only. Must be owned by a shared_ptr.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  using Done = std::function<void(CallerReply)>;

  /// `context` must outlive the call. `done` gets the reply for the caller.
  EntryCall(EntryContext& context, CallerRequest request, Done done);

  /// Starts the call. Call once; may call `done` before it returns.
  void Begin();

  /// The caller disconnected: cancels the open offer, if any, and ends the
  /// call. `done` is not called any more.
  void OnCallerDisconnect();

  const std::string& id() const { return m_id; }

  /// Whether pipelined requests may run beside this call, see
  /// `CallerHooks::may_overlap`. False until the call is matched.
  bool may_overlap() const { return m_may_overlap; }
  /// The same of a request that has not been started. Thread-safe.
  static bool MayOverlap(const Configuration& config,
                         const CallerRequest& request);

  /// State of the call for the dump.
  JsonValue ToJson(TimePoint now) const;

  /// Called once, when the call has ended; the owner may then release it.
  std::function<void(EntryCall*)> on_finished;

 private:
  /// The current or last offer: the member it went to and its link.
  struct Attempt {
    std::size_t member = 0;
    std::shared_ptr<UpstreamState> state;
    std::shared_ptr<PeerLink> link;
    OfferId offer = 0;
    TimePoint sent_at;
    Duration report_age{};  ///< Of the report that the choice was based on.
    bool open = false;      ///< No outcome yet.
  };

  /// Passes the step to the test hook and runs `proceed` when the hook resumes
  /// the call. Without a hook, runs `proceed` at once.
  void RunAfterStepHook(CallStep step, std::function<void()> proceed);
  void MatchAndOffer();
  /// The rule for the request, or null if there is none. If that is because the
  /// path is ambiguous, sets `if_none`; otherwise leaves it as it is.
  static const Rule* FindMatchingRule(const Configuration& config,
                                      const CallerRequest& request,
                                      std::string_view path,
                                      RefusalReason& if_none);
  static bool MayOverlap(const Rule& rule, const CallerRequest& request) {
    return rule.idempotent && request.body.empty();
  }
  /// Sets `m_service`, by the rule's split if it has one. Returns false if the
  /// view does not have the service.
  bool ChooseService();
  /// Sets the objective and the time of the caller's first attempt.
  void SetObjective();
  /// Finds the rule, the service and the deadline. Returns a reason to refuse
  /// the call, or nothing if it may proceed.
  std::optional<RefusalReason> Match();
  /// Reads the fields that callers and other nodes set for the balancer: depth,
  /// remaining time, retry. Returns a reason to refuse the call, or nothing.
  std::optional<RefusalReason> ReadBalancerFields();
  void ArmDeadline();

  /// Queries exits for their load if that is on, then offers the call.
  /// `if_none` is the reason to refuse with if no upstream is left.
  void QueryLoadAndOffer(RefusalReason if_none);
  /// Queries more exits, also of other data centres, if no queried one has a
  /// spare slot, then offers the call.
  void QueryFurtherExits(RefusalReason if_none);
  void QueryLoad(const std::vector<LoadQueryTarget>& targets,
                 std::function<void()> then);
  /// Picks up to `max_count` members that are not leaving and were neither
  /// tried nor queried, with `near_only` only those of the own data centre, and
  /// adds them to `m_queried`. The search starts at a random member. Returns
  /// those that need a query because their report is old.
  std::vector<LoadQueryTarget> SelectQueryTargets(bool near_only,
                                                  std::size_t max_count);
  bool AnyQueriedHasSpareSlot() const;
  /// Offers the call if a queried exit may take it. If none does so in time,
  /// queries a few more first; if none does at all, refuses the call.
  void OfferIfRoom(RefusalReason if_none, bool may_query);
  /// Assesses the queried exits for this call, see balance/room.h.
  RoomAssessment AssessQueried(double margin) const;
  /// Estimates for this call, with the wait of its rank.
  EstimateOptions OptionsOfCall() const;
  /// Of this thread, for the chosen service.
  RefusalShare& ServiceRefusals() const;
  /// Counts a refusal for want of room and returns when the caller may come
  /// back; nothing for other refusals.
  std::optional<Duration> CountRefusal(RefusalReason reason);

  /// Chooses an upstream that was not tried yet and offers the call to it.
  /// `if_none` is the reason of the last refusal, or `kNoUpstream` without one.
  /// If there is no such upstream, `kPaused` leads to `OfferAgainLater` while
  /// `kMaxOffers` allows it, and any other reason to `EndWithoutSuccess`.
  void OfferToNext(RefusalReason if_none);
  /// Ends the call with the upstream's error reply if there is one, else with a
  /// refusal.
  void EndWithoutSuccess(RefusalReason reason);
  /// Whether to offer the call to `member` after a refusal. With `asks_load`,
  /// and after `kUnconditionalOffers` offers, a refusal for load is followed by
  /// another offer only if the member is expected to answer by the objective
  /// (the deadline if there is none).
  bool IsWorthMoving(std::size_t member,
                     RefusalReason refused_as,
                     TimePoint now) const;
  void Offer(std::size_t member);
  /// Takes the body of the request; `PackOffer` gives it back.
  OfferMessage BuildOffer(const Attempt& attempt);
  std::string PackOffer(const Attempt& attempt);
  /// Whether there is memory to pack an offer.
  bool HasRoomForOffer() const;
  /// How much earlier the exit's deadline is than the entry's.
  Duration ReplyMargin(const Attempt& attempt) const;
  void OnAnswer(StreamOutcome outcome, std::string bytes);
  void OnAnswerMessage(AnswerMessage answer);
  void OnRefusal(RefusalReason reason);
  /// Offers the call again after a delay, to members already tried too.
  void OfferAgainLater(RefusalReason reason);
  void OnUnknownOutcome(RefusalReason reason);
  /// The connection of the open offer stopped responding.
  void OnSuspect();
  void OnDeadline();
  void EndAttempt(AttemptEnd end);
  /// Whether the call may be run a second time; if so, takes a token of the
  /// retry budget and counts the retry.
  bool TryBeginRetry();
  /// Whether the call may reach another upstream; if so, takes a token of the
  /// retry budget.
  bool TryTakeRetryToken();
  /// The caller's request id if it gives a usable one, else a new unique id.
  static std::string CallIdOf(EntryContext& context,
                              const CallerRequest& request);
  /// Ends the call with a reply. `time_at_exit` is the time for which the call
  /// was queued and run at the exit; zero if it is not known.
  void Deliver(HttpReply reply, Duration time_at_exit);
  void Refuse(RefusalReason reason);
  /// Whether the call was made by a run of the upstream on this VM. Without
  /// `Dialect::parent_call_id`, every call from the own VM counts as such.
  bool IsNested() const;
  /// Records the caller's request as failed in the `CallerRetryTracker`, so
  /// that the caller's retry can be recognised. Precondition: a rule was found.
  void RecordCallerFailure();
  void Finish();
  /// Logs a refusal, move or retry with what it was decided by, unless the log
  /// is over its rate.
  void LogDecision(LogLevel level,
                   LogEvent event,
                   std::string_view reason,
                   std::string_view outcome = "") const;

  EntryContext& m_context;
  CallerRequest m_request;
  Done m_done;
  std::string m_id;
  CallStateMachine m_state;
  std::shared_ptr<const FleetView> m_view;  ///< Loaded once, by Match().
  const Rule* m_rule = nullptr;
  const ServiceView* m_service = nullptr;
  TimePoint m_received_at;
  TimePoint m_deadline;
  TimePoint m_objective{};         ///< Epoch of the clock: none.
  TimePoint m_first_attempt_at{};  ///< Of the caller; see SetObjective.
  asio::steady_timer m_timer;
  /// Members that got an offer, since `OfferAgainLater` if it was called.
  std::vector<std::size_t> m_tried;
  std::vector<std::size_t> m_queried;  ///< See `SelectQueryTargets`.
  Attempt m_attempt;
  std::size_t m_offers = 0;
  std::uint32_t m_arrivals = 0;  ///< Offers that may have reached an upstream.
  std::uint32_t m_depth = 0;
  bool m_nested = false;
  bool m_ancestor_is_retry = false;  ///< A call above this one is a retry.
  bool m_may_have_run = false;       ///< Because of an earlier offer.
  RoomAssessment m_room;             ///< The last one of the queried exits.
  std::optional<std::int64_t> m_caller_remaining_ms;  ///< As the request says.
  /// Reply with a server error, delivered if the retry fails.
  std::optional<HttpReply> m_fallback;
  bool m_body_given_away = false;  ///< A long body, released once packed.
  bool m_may_overlap = false;
  bool m_finished = false;
};

}  // namespace yuccamast
