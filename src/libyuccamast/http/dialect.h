#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "http/fields.h"
#include "link/messages.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"

/// \file dialect.h
/// The HTTP conventions that callers and upstreams share with a node.
///
/// What a node decides does not depend on how its neighbours spell it. The
/// names of the fields, what a reply proves, and where the upstream says how
/// busy it is are gathered here; `DefaultDialect` is the project's own
/// interface, and an adapter for a platform provides another one.

namespace yuccamast {

/// What a whole reply of the upstream stands for.
enum class ReplyClass : std::uint8_t {
  kValid,        ///< The reply to the request; goes to the caller.
  kNotRun,       ///< The upstream's word that it did not run the request.
  kMisdirected,  ///< Another upstream answers here; it did not run the request.
  kOtherRequest,  ///< The reply to another request; the own one may follow.
  kInvalid,       ///< No reply that may be passed on.
};

/// How busy an upstream says that it is.
struct UpstreamLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on its machine now, in percent of the usual.
  std::uint32_t slowness = 100;
};

/// What an upstream's health page says.
struct HealthStatus {
  bool healthy = false;
  std::string upstream;  ///< Which one answers; empty if it does not say.
};

/// Names are used as they are, compared without regard to case. Immutable once
/// the node runs; the hooks must be thread-safe.
struct Dialect {
  /// Names an attempt of a caller; empty: callers give none.
  std::string request_id_field;
  /// Milliseconds for which the caller, or the entry, still waits.
  std::string deadline_field;
  /// Service on the VM where a request began; empty: not told.
  std::string caller_service_field;
  /// The upstream that a request is meant for; empty: not told.
  std::string expected_upstream_field;
  /// Whether the project's own fields travel to callers and upstreams.
  bool uses_yuccamast_fields = true;
  /// Whether a reply whose end is the end of its connection may be whole.
  bool accepts_close_delimited = false;
  /// `request_id` is empty if the request had none.
  std::function<ReplyClass(const HttpReply&, const std::string& request_id)>
      classify_reply;
  /// The id of the call that the attempt called `id` may be nested in; empty
  /// if it says none. Without the hook, all calls from the own VM are nested.
  std::function<std::string_view(std::string_view id)> parent_call_id;
  std::function<std::optional<UpstreamLoad>(const HttpReply&)> parse_load;
  std::function<HealthStatus(const HttpReply&)> parse_health;
  /// Whether a reply says that its upstream is leaving.
  std::function<bool(const HttpReply&)> indicates_leaving;
  /// Text of a Retry-After field.
  std::function<std::string(Duration)> retry_after;
};

/// The project's own interface; see docs/OPERATIONS.md.
const Dialect& DefaultDialect();

}  // namespace yuccamast
