#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// \file log.h
/// Structured log on standard output: one line of key=value pairs per event.
///
/// A line begins with `time` (UTC, microseconds), `node`, `level` and `event`,
/// followed by the fields of the event. Values are quoted where necessary, and
/// control bytes, quotes and backslashes are escaped, so that text from outside
/// cannot forge another line or field.
///
/// The lines pass through easylogging++ to a `LineWriter`, which writes them
/// from a background thread and drops lines when standard output is not read
/// fast enough.
///
/// Lines about single calls are rate-limited by two token buckets: call
/// `TakeLogToken` before composing the fields. Ordinary ends of calls are
/// sampled at a low rate. The limit for refusals, failures, retries and moves
/// is far above what a healthy node needs; the number of such lines that were
/// suppressed is logged as `log_suppressed` before the next one.

namespace yuccamast {

/// Severity, in ascending order.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Name of a level in lines and settings, such as `warning`.
std::string_view NameOf(LogLevel level);

/// The level with this name, or nothing if there is none.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

/// Events. Their names are in log.cpp, in the same order; docs/REFERENCE.md
/// describes them.
enum class LogEvent : std::uint8_t {
  kNodeStarted,
  kNodeLeaving,
  kNodeStopped,
  kStopOverrun,
  kStopCallLeft,
  kSettingsRefused,
  kConfigAccepted,
  kConfigRefused,
  kConfigStale,
  kConfigConflict,
  kReaderStateChanged,
  kPlatformUnreachable,
  kPlatformReachable,
  kVmListAccepted,
  kVmListRefused,
  kPeerConnected,
  kPeerLost,
  kPauseNoticed,
  kCallRefused,
  kCallFinished,
  kCallRetried,
  kUpstreamFault,
  kOfferRefused,
  kCallerRefused,
  kCallerClosedForMemory,
  kMemberChanged,
  kUpstreamDraining,
  kUpstreamNamed,
  kCallMoved,
  kRunCancelled,
  kSettingsReloaded,
  kLogSuppressed,
  kLogDropped,
  kSourceCallFailed,
  kSourceRead,
  kSourceRestored,
  kSourceItemRefused,
  kSourceWordUnknown,
  kSourceValueLimited,
  kConfigRead,
  kDocumentFetched,
  kDocumentFetchFailed,
  kDocumentFetchMoved,
  kUpstreamRateLimit,
  kDataCentreEvacuated,
  kDataCentreReturned,
  kExitEvacuated,
  kExitReturned,
  kUpstreamCold,
  kUpstreamWarm,
  kUpstreamFieldRefused,
  kInternal,
};

inline constexpr std::size_t kLogEventCount =
    static_cast<std::size_t>(LogEvent::kInternal) + 1;

/// Name of an event in lines, such as `node_started`.
std::string_view NameOf(LogEvent event);

/// Classes of lines about single calls, each with a rate limit of its own.
enum class LogClass : std::uint8_t {
  kSample,    ///< An ordinary end of a call.
  kDecision,  ///< A refusal, failure, retry or move.
};

/// Rate limits in lines per second. Each bucket holds at most the tokens of
/// `kLogBurstSeconds` (in seconds), which bounds a burst.
inline constexpr double kSamplesPerSecond = 2;
inline constexpr double kDecisionsPerSecond = 50;
inline constexpr double kLogBurstSeconds = 4;

/// Takes a token for a line of the class; false if the line must be suppressed.
/// May write a `log_suppressed` line itself, for kDecision only. Thread-safe.
bool TakeLogToken(LogClass log_class);

/// A field of a line; numbers are stored as text. `key` is written as it is and
/// must outlive the field.
struct LogField {
  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  LogField(std::string_view k, const std::string& v) : key(k), value(v) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view k, Number v)
      : key(k), value(std::to_string(v)) {}

  std::string_view key;
  std::string value;
};

/// Formats one line without `time`, `node` and the line end. A pure function;
/// public for tests.
std::string FormatLine(LogLevel level,
                       LogEvent event,
                       std::initializer_list<LogField> fields);

/// Starts the log; lines below `min_level` are not written. `node` is written
/// in each line, unescaped; empty: no `node` field. Not thread-safe: call it
/// before threads start.
void SetUpLog(LogLevel min_level, std::string_view node);

/// Writes the buffered lines and ends the writer thread; later lines are lost.
/// Call it once, when no other thread logs any more.
void CloseLog();

/// Whether lines of `level` are written. Thread-safe; reads one atomic.
bool IsLogged(LogLevel level);

/// Writes one line, unless `level` is below that of `SetUpLog`. Does not apply
/// the rate limits. Thread-safe; does not wait for standard output.
void Log(LogLevel level,
         LogEvent event,
         std::initializer_list<LogField> fields);

}  // namespace yuccamast
