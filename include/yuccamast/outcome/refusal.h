#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

/// \file refusal.h
/// What a caller is told when it does not get the upstream's answer.
///
/// Every refusal has one reason out of one table. The reason fixes the HTTP
/// status and, above all, what is claimed about the run: `kNotRun` is only
/// used where the code that refuses holds proof that no byte of the request
/// was written to an upstream. Everything else is `kUnknown`. A reason never
/// changes its run_outcome, so the run_outcome can be reviewed in one place.

namespace yuccamast {

/// What is known about the execution of a refused call.
enum class RunOutcome : std::uint8_t {
  kNotRun,   ///< Proof exists that the upstream did not start it.
  kUnknown,  ///< It may have run, wholly, partly or not at all.
};

/// Why a call was refused. Append only: the value travels between nodes.
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
  kPaused,
  kMemoryFull,
  kDepthExceeded,
  kUnsupported,
  kStaleOffer,
  kDeadlineNotRun,
  kDeadlineUnknown,
  kUpstreamUnreachable,
  kUpstreamLost,
  kReplyIncomplete,
  kReplyTooLarge,
  kCancelled,
  kWrongUpstream,
  kUpstreamShed,
  kTooManyConnections,
  kMisdirected,
};

/// One row of the table of reasons.
struct RefusalInfo {
  RefusalReason reason;
  std::string_view name;  ///< Name on the wire, in logs and in metrics.
  unsigned status;        ///< HTTP status shown to the caller.
  RunOutcome run_outcome;
  bool retry_after;       ///< Whether a `Retry-After` header helps the caller.
  bool movable;           ///< Whether another upstream may be tried.
  bool reached_upstream;  ///< Whether the request, or a part, reached an
                          ///< upstream.
};

inline constexpr std::size_t kRefusalReasonCount = 29;

/// The table of reasons, indexed by the value of the reason.
extern const std::array<RefusalInfo, kRefusalReasonCount> kRefusalTable;

/// The row of `reason`. Thread-safe, never fails for a declared reason.
const RefusalInfo& InfoOf(RefusalReason reason);

/// The reason with number `value`, or nothing if there is none.
std::optional<RefusalReason> RefusalFromValue(std::uint8_t value);

/// `not-run` or `unknown`, as in the `Yuccamast-Outcome` header.
std::string_view NameOf(RunOutcome run_outcome);

}  // namespace yuccamast
