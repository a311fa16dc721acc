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
#include "yuccamast/outcome/call_state_machine.h"

/// \file entry_call.h
/// One call at the entry: match, choose, offer, and what follows.
///
/// The rules of moving and retrying are here:
/// - a refusal with proof of no run may be moved to another upstream, whatever
///   the rule says, up to `kMaxOffers` offers in all; if the request had
///   reached an upstream, the move draws on the retry budget;
/// - a call reaches at most the rule's `max_upstreams` upstreams;
/// - an unknown outcome ends a non-idempotent call as `unknown`;
/// - an idempotent call with an unknown outcome or a server error is offered
///   again if the retry budget allows and no call above it is a retry.
/// The caller gets exactly one reply.

namespace yuccamast {

/// Offers of one call, moves and retries together.
inline constexpr std::size_t kMaxOffers = 4;

/// Divides the calls of a rule among the parts of its split. Successive calls
/// spread evenly, so that the shares hold over short spans too. Not
/// thread-safe.
class SplitTurns {
 public:
  explicit SplitTurns(std::uint64_t phase) : m_next(phase) {}

  /// The part that the next call goes to. Precondition: some weight is set.
  const SplitPart& Next(const std::vector<SplitPart>& parts);

 private:
  std::uint64_t m_next;  ///< Grows by the golden ratio of its range.
};

/// What the calls of one entry thread share. Used on that thread only.
struct EntryContext {
  boost::asio::io_context& io;
  const NodeSettings& settings;
  FleetViewStore& store;
  Metrics& metrics;
  std::string origin_boot;    ///< Text of the boot id, for call ids.
  std::uint64_t boot_id = 0;  ///< Unique to this thread of this process.
  std::uint64_t calls = 0;    ///< Calls begun, for call ids.
  std::mt19937_64 random;
  std::map<std::string, SplitTurns, std::less<>> turns;  ///< By rule.
  CallerTimeoutEstimator patience;
  CallerRetryTracker returning;
  LoadQueryClient& asker;
  std::function<std::shared_ptr<PeerLink>(const tcp::endpoint&)> link;
  /// Whether the view of the world is too old to route by.
  std::function<bool()> view_is_old;
  const StepHook& at_step;
  /// Service on this VM, as the settings say now.
  std::function<std::string()> service;
  const RunningCallIds* running = nullptr;
};

/// Use from the entry's thread only.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
 public:
  using Done = std::function<void(CallerReply)>;

  EntryCall(EntryContext& context, CallerRequest request, Done done);

  /// Starts; may call `done` before it returns.
  void Begin();

  /// The caller is gone: gives up what may be given up. `done` is not called.
  void CallerGone();

  const std::string& id() const { return m_id; }
  JsonValue ToJson(TimePoint now) const;

  /// Called once, when nothing of the call is left.
  std::function<void(EntryCall*)> on_finished;

 private:
  /// One offer: the member it went to and its link.
  struct Attempt {
    std::size_t member = 0;
    std::shared_ptr<UpstreamState> state;
    std::shared_ptr<PeerLink> link;
    OfferId offer = 0;
    TimePoint sent_at;
    Duration report_age{};  ///< Of the report that the choice was made by.
    bool open = false;
  };

  void AtStep(CallStep step, std::function<void()> go);
  void MatchAndTry();
  const Rule* FindGoverningRule(std::string_view path,
                                RefusalReason& if_none) const;
  bool ChooseService();
  void SetObjective();
  std::optional<RefusalReason> Match();
  std::optional<RefusalReason> ReadOwnFields();
  void ArmDeadline();
  void AskAndTry(RefusalReason if_none);
  void AskFurther(RefusalReason if_none);
  void Ask(const std::vector<LoadQueryTarget>& targets,
           std::function<void()> then);
  std::vector<LoadQueryTarget> PickToAsk(bool near_only, std::size_t most);
  bool AskedHasRoom() const;
  void TryNext(RefusalReason if_none);
  /// Ends the call with what there is: an upstream's own error, or a refusal.
  void GiveUp(RefusalReason reason);
  bool IsWorthMoving(std::size_t member,
                     RefusalReason refused_as,
                     TimePoint now) const;
  void Offer(std::size_t member);
  OfferMessage BuildOffer(const Attempt& attempt);
  Duration ReplyMargin(const Attempt& attempt) const;
  void OnAnswer(StreamOutcome outcome, const std::string& bytes);
  void OnWord(AnswerMessage answer);
  void OnRefusal(RefusalReason reason);
  void TryAgainSoon(RefusalReason reason);
  void OnUnknown(RefusalReason reason);
  void OnSuspect();
  void OnDeadline();
  void EndAttempt(AttemptEnd end);
  bool MayRetry();
  bool MayArriveAgain();
  static std::string IdOf(EntryContext& context, const CallerRequest& request);
  void Deliver(HttpReply reply, Duration at_upstream);
  void Refuse(RefusalReason reason);
  /// Whether the call was made by a run of the upstream on this VM.
  bool IsNested() const;
  /// Notes that the caller may come back. Precondition: a rule was found.
  void RememberCaller();
  void Finish();
  void LogDecision(LogLevel level,
                   LogEvent event,
                   std::string_view reason,
                   std::string_view outcome = "") const;

  EntryContext& m_context;
  CallerRequest m_request;
  Done m_done;
  std::string m_id;
  CallStateMachine m_life;
  std::shared_ptr<const FleetView> m_view;
  const Rule* m_rule = nullptr;
  const ServiceView* m_service = nullptr;
  TimePoint m_begun_at;
  TimePoint m_deadline;
  TimePoint m_objective{};  ///< Never: none.
  TimePoint m_first_asked{};
  asio::steady_timer m_timer;
  std::vector<std::size_t> m_tried;
  std::vector<std::size_t> m_asked;  ///< Members whose load is freshly known.
  Attempt m_attempt;
  std::size_t m_offers = 0;
  std::uint32_t m_arrivals = 0;  ///< Offers that may have reached an upstream.
  std::uint32_t m_depth = 0;
  bool m_nested = false;
  bool m_below_retry = false;    ///< A call above this one is a retry.
  bool m_may_be_second = false;  ///< An earlier offer may have run.
  std::optional<std::int64_t> m_inherited_ms;
  std::optional<HttpReply> m_fallback;  ///< A server error, if retries fail.
  bool m_over = false;
};

}  // namespace yuccamast
