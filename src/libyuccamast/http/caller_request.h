#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/memory_budget.h"
#include "link/messages.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file caller_request.h
/// What a caller's connection and the node exchange about one call.

namespace yuccamast {

/// A complete request of a caller.
struct CallerRequest {
  std::string method;
  std::string target;
  std::vector<HttpField> fields;
  std::string body;
  std::shared_ptr<MemoryReservation> memory;  ///< For the body; may be null.
  bool from_own_vm = false;  ///< The connection comes from the node's own VM.
  /// When its last byte was read. A pipelined request may wait after that.
  TimePoint received_at{};
};

/// Answer to a caller: the upstream's reply or a refusal.
struct CallerReply {
  std::string call_id;  ///< Value of `Yuccamast-Call-Id`; may be empty.
  std::variant<HttpReply, RefusalReason> result;
  /// Value for the `Retry-After` field of a refusal, instead of that of
  /// `CallerHooks::retry_after`.
  std::optional<Duration> retry_after = std::nullopt;
};

/// Connects a call in progress with the connection that it came from.
struct CallHandle {
  /// Called at most once, when the caller closes or resets its connection.
  std::function<void()> on_caller_disconnect;
  /// Whether requests behind this one may run beside it, see
  /// `CallerHooks::may_overlap`.
  bool may_overlap = false;
};

}  // namespace yuccamast
