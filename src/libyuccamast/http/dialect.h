#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "http/fields.h"
#include "link/messages.h"
#include "yuccamast/clock.h"
#include "yuccamast/outcome/refusal.h"
#include "yuccamast/result.h"

/// \file dialect.h
/// The HTTP conventions that a node shares with callers and upstreams.
///
/// `Dialect` collects what differs between platforms: the names of the header
/// fields for request id, deadline, caller service and expected upstream, the
/// rules to classify a reply of the upstream, and the format in which an
/// upstream reports its load and health. The rest of the node is independent of
/// these. `DefaultDialect` is the project's own interface; an adapter for a
/// platform provides another one.

namespace yuccamast {

/// Class of a complete reply of the upstream.
enum class ReplyClass : std::uint8_t {
  kValid,         ///< The reply to the request; passed to the caller.
  kNotRun,        ///< The upstream states that it did not run the request.
  kMisdirected,   ///< From another upstream, which did not run the request.
  kOtherRequest,  ///< The reply to another request; the right one may follow.
  kInvalid,  ///< Not to be passed on; whether the request was run is unknown.
};

/// Load that an upstream reports about itself.
struct UpstreamLoad {
  std::uint32_t running = 0;  ///< Requests being run.
  std::uint32_t waiting = 0;  ///< Requests queued in the upstream.
  std::uint32_t slots = 0;    ///< Requests that it runs at once.
  /// Time that work takes on its VM now, in percent of the usual time.
  std::uint32_t slowness = 100;
};

/// What a reply from an upstream's health page states.
struct HealthStatus {
  bool healthy = false;
  std::string upstream;  ///< Name of the upstream; empty if not given.
};

/// Limit on requests per second that a reply names; nothing: none.
using RateLimit = std::optional<double>;

/// Why a stated cold time is not used.
enum class ColdTimeFault : std::uint8_t {
  kMalformed,   ///< Not a decimal number of milliseconds.
  kOutOfRange,  ///< Longer than `kMaxColdTime`.
};

/// Name of a fault in logs, such as `malformed`.
std::string_view NameOf(ColdTimeFault fault);

/// A stated cold time that is not used, with its text.
struct ColdTimeError {
  ColdTimeFault fault = ColdTimeFault::kMalformed;
  std::string text;
};

/// Longest cold time that is believed.
inline constexpr std::chrono::milliseconds kMaxColdTime =
    std::chrono::minutes(10);

/// How long the upstream stays cold by a reply; zero: it is warm. Nothing: the
/// reply doesn't say.
using ColdTime = std::optional<std::chrono::milliseconds>;

/// Parses the cold time that the health reply states in `field`. A successful
/// reply without the field states that the upstream is warm; any other reply
/// without it may come from something in front of the upstream. Thread-safe.
Result<ColdTime, ColdTimeError> ParseColdTime(const HttpReply& reply,
                                              std::string_view field);

/// Field names are sent as written here and compared case-insensitively.
/// Immutable once the node runs; the hooks must be thread-safe. All hooks but
/// `parent_call_id` are required.
struct Dialect {
  /// Field with the id that the caller gives to each attempt of a request;
  /// empty: callers send none.
  std::string request_id_field;
  /// Field with the time left until the deadline, in milliseconds: in a
  /// caller's request, how long the caller still waits; in a request to an
  /// upstream, how long the exit still waits.
  std::string deadline_field;
  /// Field by which the entry tells the upstream which service makes the call:
  /// the service of the entry's own VM; empty: not sent.
  std::string caller_service_field;
  /// Field with the upstream that a request is meant for; empty: not sent.
  std::string expected_upstream_field;
  /// Whether `Yuccamast-...` fields are sent to upstreams and with replies to
  /// callers. Refusals carry outcome and reason in any case.
  bool uses_yuccamast_fields = true;
  /// Whether a close-delimited reply (RFC 9112, section 6.3), one whose body
  /// ends with its connection, is accepted as complete.
  bool accepts_close_delimited = false;
  /// Classifies a complete reply. `request_id` is empty if the request had
  /// none.
  std::function<ReplyClass(const HttpReply&, const std::string& request_id)>
      classify_reply;
  /// The id of the call that the attempt `id` may be nested in, derived from
  /// `id`; empty if there is none. The result may refer to the text of `id`.
  /// Without the hook, all calls from the node's own VM count as nested.
  std::function<std::string_view(std::string_view id)> parent_call_id;
  /// The load that a reply carries; nothing if it carries none or a malformed
  /// one.
  std::function<std::optional<UpstreamLoad>(const HttpReply&)> parse_load;
  /// The rate of requests, from all nodes together, to which the upstream
  /// limits itself by this reply; nothing if it names none or a malformed one.
  std::function<RateLimit(const HttpReply&)> parse_rate_limit;
  /// How long the upstream stays cold by a reply of the health page.
  std::function<Result<ColdTime, ColdTimeError>(const HttpReply&)>
      parse_cold_time;
  /// Parses a reply of the health page.
  std::function<HealthStatus(const HttpReply&)> parse_health;
  /// Whether a reply indicates that its upstream is leaving.
  std::function<bool(const HttpReply&)> indicates_leaving;
  /// Value of a `Retry-After` field for the given delay.
  std::function<std::string(Duration)> retry_after;
};

/// The project's own interface; see docs/OPERATIONS.md. Thread-safe.
const Dialect& DefaultDialect();

}  // namespace yuccamast
