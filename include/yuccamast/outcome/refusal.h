#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

/// \file refusal.h
/// The reasons for which a call is refused, and what the caller is told.
///
/// A refusal is any reply that is not the upstream's answer. Each has one
/// reason of the table `kRefusalTable`, which gives the HTTP status, the
/// outcome of the run and whether the call may be moved to another upstream.
/// The outcome is a guarantee to the caller: `kNotRun` is used only where the
/// refusing code knows that no byte of the request was written to an upstream,
/// or where an upstream replied that it did not run the request
/// (`kUpstreamShed`, `kMisdirected`). All else is `kUnknown`. The outcome
/// depends on the reason alone, so all guarantees can be reviewed in the table.

namespace yuccamast {

/// What is known about the run of a refused call.
enum class RunOutcome : std::uint8_t {
  kNotRun,   ///< The upstream is known not to have started it.
  kUnknown,  ///< It may have run completely, partly or not at all.
};

/// Reason of a refusal. The values are sent between nodes: append only.
enum class RefusalReason : std::uint8_t {
  kBadRequest,
  kAmbiguousPath,
  kHeadTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kNoRule,
  kNoConfiguration,
  kNoUpstream,
  kPeerUnreachable,
  kPeerLost,
  kQueueFull,
  kQueueTimeout,
  kLeaving,
  kPaused,  ///< A node just resumed from a pause; what it knows may be old.
  kMemoryFull,
  kDepthExceeded,
  kUnsupported,
  kStaleOffer,  ///< The exit got an offer that is repeated or too old.
  kDeadlineNotRun,
  kDeadlineUnknown,
  kUpstreamUnreachable,
  kUpstreamLost,
  kReplyIncomplete,
  kReplyTooLarge,
  kCancelled,
  /// The exit is not beside the upstream of the offer, or has another version
  /// of the protocol between nodes.
  kWrongUpstream,
  kUpstreamShed,  ///< The upstream replied that it did not run the request.
  kTooManyConnections,
  /// The reply came from another upstream, which did not run the request.
  kMisdirected,
  /// The operator has emptied the data centre of the upstream, or those of all
  /// upstreams of the service.
  kEvacuated,
  kColdLimit,  ///< The upstream is cold, and its limit of starts is used up.
  /// By fresh reports no queried exit would take the call; it was not offered.
  kNoRoom,
};

/// Properties of a reason.
struct RefusalInfo {
  RefusalReason reason;
  std::string_view name;   ///< As in replies, logs and metrics.
  unsigned status;         ///< HTTP status of the reply to the caller.
  RunOutcome run_outcome;  ///< Guarantee to the caller.
  bool retry_after;        ///< Whether the reply gets a `Retry-After` header.
  bool movable;            ///< Whether another upstream may be tried.
  /// Whether any part of the request may have reached an upstream.
  bool reached_upstream;
};

/// Number of enumerators of `RefusalReason`.
inline constexpr std::size_t kRefusalReasonCount = 32;

/// The table of reasons, indexed by their values.
extern const std::array<RefusalInfo, kRefusalReasonCount> kRefusalTable;

/// The properties of `reason`. Thread-safe. Throws `std::out_of_range` for a
/// value that is no enumerator.
const RefusalInfo& InfoOf(RefusalReason reason);

/// The reason with the value `value` as received from a peer, or nothing if
/// there is none.
std::optional<RefusalReason> RefusalFromValue(std::uint8_t value);

/// `not-run` or `unknown`, as in the `Yuccamast-Outcome` header.
std::string_view NameOf(RunOutcome run_outcome);

}  // namespace yuccamast
