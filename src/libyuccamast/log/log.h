#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// \file log.h
/// Structured log: one line of key=value pairs an event, on standard output.
///
/// The lines go through easylogging++ to a writer with a thread of its own, see
/// line_writer.h. Values are quoted when needed, and control bytes, quotes and
/// backslashes are escaped, so text that came from outside cannot forge a
/// second line or field.
///
/// Lines about single calls are bounded by a rate: ask `TakeLogToken` before
/// the fields are put together. Ordinary ends are sampled; refusals, failures,
/// retries and moves have a rate far above what a healthy node needs. What the
/// rate withholds is counted and told.

namespace yuccamast {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

std::string_view NameOf(LogLevel level);
std::optional<LogLevel> LogLevelFromName(std::string_view name);

/// What happened. Names in log.cpp; docs/REFERENCE.md lists them.
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
  kMemberChanged,
  kUpstreamDraining,
  kUpstreamNamed,
  kCallMoved,
  kRunCancelled,
  kSettingsReloaded,
  kLogSuppressed,
  kLogDropped,
  kSourceCallFailed,
  kSourceItemRefused,
  kInternal,
};

inline constexpr std::size_t kLogEventCount =
    static_cast<std::size_t>(LogEvent::kInternal) + 1;

std::string_view NameOf(LogEvent event);

/// How often lines about single calls may be written.
enum class LogClass : std::uint8_t {
  kSample,    ///< An ordinary end.
  kDecision,  ///< A refusal, failure, retry or move.
};

/// Lines a second of each class, in the long run and in a burst.
inline constexpr double kSamplesPerSecond = 2;
inline constexpr double kDecisionsPerSecond = 50;
inline constexpr double kLogBurstSeconds = 4;

/// Whether a line of the class may be written now; takes its place in the
/// rate. Thread-safe.
bool TakeLogToken(LogClass log_class);

/// One field of a line. Numbers are kept as text.
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

/// Formats one line without its end. Pure; exposed for tests.
std::string FormatLine(LogLevel level,
                       LogEvent event,
                       std::initializer_list<LogField> fields);

/// Sets up the logger once, before threads start.
void SetUpLog(LogLevel lowest, std::string_view node);

/// Writes what is held and ends the writer; call once, when the other threads
/// have ended or are done logging.
void CloseLog();

/// Whether lines of `level` are written. Thread-safe and cheap.
bool IsLogged(LogLevel level);

/// Writes one line. Thread-safe.
void Log(LogLevel level,
         LogEvent event,
         std::initializer_list<LogField> fields);

}  // namespace yuccamast
