#include "yuccamast/outcome/refusal.h"

namespace yuccamast {

namespace {
constexpr RunOutcome kNotRun = RunOutcome::kNotRun;
constexpr RunOutcome kUnknown = RunOutcome::kUnknown;
using R = RefusalReason;
}  // namespace

// Columns: reason, name, status, run_outcome, retry_after, movable,
// reached_upstream.
const std::array<RefusalInfo, kRefusalReasonCount> kRefusalTable = {{
    {R::kBadRequest, "bad_request", 400, kNotRun, false, false, false},
    {R::kAmbiguousPath, "ambiguous_path", 400, kNotRun, false, false, false},
    {R::kHeadTooLarge, "head_too_large", 431, kNotRun, false, false, false},
    {R::kBodyTooLarge, "body_too_large", 413, kNotRun, false, false, false},
    {R::kRequestTimeout, "request_timeout", 408, kNotRun, false, false, false},
    {R::kNoRule, "no_rule", 404, kNotRun, false, false, false},
    {R::kNoConfiguration, "no_configuration", 503, kNotRun, true, false, false},
    {R::kNoUpstream, "no_upstream", 503, kNotRun, true, false, false},
    {R::kPeerUnreachable, "peer_unreachable", 503, kNotRun, true, true, false},
    {R::kPeerLost, "peer_lost", 502, kUnknown, false, false, true},
    {R::kQueueFull, "queue_full", 503, kNotRun, true, true, false},
    {R::kQueueTimeout, "queue_timeout", 503, kNotRun, true, true, false},
    {R::kLeaving, "leaving", 503, kNotRun, true, true, false},
    {R::kPaused, "paused", 503, kNotRun, true, true, false},
    {R::kMemoryFull, "memory_full", 503, kNotRun, true, true, false},
    {R::kDepthExceeded, "depth_exceeded", 508, kNotRun, false, false, false},
    {R::kUnsupported, "unsupported", 501, kNotRun, false, false, false},
    {R::kStaleOffer, "stale_offer", 502, kUnknown, false, false, true},
    {R::kDeadlineNotRun, "deadline_not_run", 504, kNotRun, true, false, false},
    {R::kDeadlineUnknown, "deadline_unknown", 504, kUnknown, false, false,
     true},
    {R::kUpstreamUnreachable, "upstream_unreachable", 503, kNotRun, true, true,
     false},
    {R::kUpstreamLost, "upstream_lost", 502, kUnknown, false, false, true},
    {R::kReplyIncomplete, "reply_incomplete", 502, kUnknown, false, false,
     true},
    {R::kReplyTooLarge, "reply_too_large", 502, kUnknown, false, false, true},
    {R::kCancelled, "cancelled", 499, kNotRun, false, false, false},
    {R::kWrongUpstream, "wrong_upstream", 503, kNotRun, true, true, false},
    {R::kUpstreamShed, "upstream_shed", 503, kNotRun, true, true, true},
    {R::kTooManyConnections, "too_many_connections", 503, kNotRun, true, false,
     false},
    {R::kMisdirected, "misdirected", 503, kNotRun, true, true, true},
    {R::kEvacuated, "evacuated", 503, kNotRun, true, true, false},
    {R::kColdLimit, "cold_limit", 503, kNotRun, true, true, false},
    {R::kNoRoom, "no_room", 503, kNotRun, true, false, false},
}};

const RefusalInfo& InfoOf(RefusalReason reason) {
  return kRefusalTable.at(static_cast<std::size_t>(reason));
}

std::optional<RefusalReason> RefusalFromValue(std::uint8_t value) {
  if (value >= kRefusalReasonCount) {
    return std::nullopt;
  }
  return static_cast<RefusalReason>(value);
}

std::string_view NameOf(RunOutcome run_outcome) {
  return run_outcome == RunOutcome::kNotRun ? "not-run" : "unknown";
}

}  // namespace yuccamast
