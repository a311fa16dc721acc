#include "log/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <utility>

#include "log/line_writer.h"

INITIALIZE_EASYLOGGINGPP

namespace yuccamast {

namespace {

// Indexed by LogLevel.
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

// Indexed by LogEvent.
constexpr std::array<std::string_view, kLogEventCount> kEventNames = {
    "node_started",
    "node_leaving",
    "node_stopped",
    "stop_overrun",
    "stop_call_left",
    "settings_refused",
    "config_accepted",
    "config_refused",
    "config_stale",
    "config_conflict",
    "reader_state_changed",
    "platform_unreachable",
    "platform_reachable",
    "vm_list_accepted",
    "vm_list_refused",
    "peer_connected",
    "peer_lost",
    "pause_noticed",
    "call_refused",
    "call_finished",
    "call_retried",
    "upstream_fault",
    "offer_refused",
    "caller_refused",
    "caller_closed_for_memory",
    "member_changed",
    "upstream_draining",
    "upstream_named",
    "call_moved",
    "run_cancelled",
    "settings_reloaded",
    "log_suppressed",
    "log_dropped",
    "source_call_failed",
    "source_read",
    "source_restored",
    "source_item_refused",
    "source_word_unknown",
    "source_value_limited",
    "config_read",
    "document_fetched",
    "document_fetch_failed",
    "document_fetch_moved",
    "upstream_rate_limit",
    "data_centre_evacuated",
    "data_centre_returned",
    "exit_evacuated",
    "exit_returned",
    "upstream_cold",
    "upstream_warm",
    "upstream_field_refused",
    "internal"};

std::atomic<LogLevel> g_min_level{LogLevel::kWarning};
std::string g_node;  // Set before threads start.

/// Bound on lines that are not written yet; further lines are dropped.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

std::unique_ptr<LineWriter> g_writer;  // Created before threads start.

/// Receives formatted lines from easylogging++ and passes them to the writer.
class WriterSink : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    if (g_writer != nullptr) {
      g_writer->Push(data->logMessage()->message());
    }
  }
};

/// Token bucket with a capacity of `kLogBurstSeconds` times its rate; starts
/// full. Thread-safe.
class TokenBucket {
 public:
  explicit TokenBucket(double tokens_per_second)
      : m_tokens_per_second(tokens_per_second) {}

  /// Takes a token; false if there is none. On success, `suppressed` is set to
  /// the number of failures since the last success.
  bool Take(std::uint64_t& suppressed) {
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - m_refilled_at;
    m_refilled_at = now;
    m_tokens = std::min(m_tokens_per_second * kLogBurstSeconds,
                        m_tokens + elapsed.count() * m_tokens_per_second);
    if (m_tokens < 1.0) {
      ++m_suppressed;
      return false;
    }
    m_tokens -= 1.0;
    suppressed = std::exchange(m_suppressed, 0);
    return true;
  }

 private:
  std::mutex m_mutex;
  const double m_tokens_per_second;
  double m_tokens = m_tokens_per_second * kLogBurstSeconds;
  std::uint64_t m_suppressed = 0;
  std::chrono::steady_clock::time_point m_refilled_at =
      std::chrono::steady_clock::now();
};

TokenBucket g_sample_bucket(kSamplesPerSecond);
TokenBucket g_decision_bucket(kDecisionsPerSecond);

/// The current time in ISO 8601 format, UTC, with microseconds.
std::string FormatCurrentTime() {
  using std::chrono::system_clock;
  const auto now = system_clock::now();
  const std::time_t seconds = system_clock::to_time_t(now);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          now.time_since_epoch())
                          .count() %
                      1'000'000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const std::size_t used =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + used, text.size() - used, ".%06ldZ",
                static_cast<long>(micros));
  return text.data();
}

/// Whether a byte may stand in a value that is not quoted.
bool IsPlain(unsigned char c) {
  return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& line, unsigned char c) {
  if (c == '"' || c == '\\') {
    line += '\\';
    line += static_cast<char>(c);
  } else if (c >= ' ' && c < 0x7f) {
    line += static_cast<char>(c);
  } else {
    std::array<char, 5> hex{};
    std::snprintf(hex.data(), hex.size(), "\\x%02x", c);
    line += hex.data();
  }
}

/// Appends a value; quoted and escaped if it is empty or has a byte that is not
/// plain.
void AppendValue(std::string& line, std::string_view value) {
  if (!value.empty() && std::ranges::all_of(value, IsPlain)) {
    line += value;
    return;
  }
  line += '"';
  std::ranges::for_each(value,
                        [&](unsigned char c) { AppendEscaped(line, c); });
  line += '"';
}

el::Level ToElLevel(LogLevel level) {
  constexpr std::array<el::Level, 4> kLevels = {
      el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error};
  return kLevels.at(static_cast<std::size_t>(level));
}

}  // namespace

std::string_view NameOf(LogLevel level) {
  return kLevelNames.at(static_cast<std::size_t>(level));
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  const auto found = std::ranges::find(kLevelNames, name);
  if (found == kLevelNames.end()) {
    return std::nullopt;
  }
  return static_cast<LogLevel>(found - kLevelNames.begin());
}

std::string_view NameOf(LogEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

std::string FormatLine(LogLevel level,
                       LogEvent event,
                       std::initializer_list<LogField> fields) {
  std::string line = "level=";
  line += NameOf(level);
  line += " event=";
  line += NameOf(event);
  std::ranges::for_each(fields, [&](const LogField& field) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  });
  return line;
}

void SetUpLog(LogLevel min_level, std::string_view node) {
  g_min_level = min_level;
  g_node = node;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  g_writer = std::make_unique<LineWriter>(STDOUT_FILENO, kMaxBufferedBytes);
  el::Helpers::installLogDispatchCallback<WriterSink>("WriterSink");
}

void CloseLog() {
  g_writer.reset();
}

bool TakeLogToken(LogClass log_class) {
  std::uint64_t suppressed = 0;
  const bool is_sample = log_class == LogClass::kSample;
  const bool allowed =
      (is_sample ? g_sample_bucket : g_decision_bucket).Take(suppressed);
  if (allowed && !is_sample && suppressed > 0) {
    Log(LogLevel::kWarning, LogEvent::kLogSuppressed, {{"lines", suppressed}});
  }
  return allowed;
}

bool IsLogged(LogLevel level) {
  return level >= g_min_level.load(std::memory_order_relaxed);
}

void Log(LogLevel level,
         LogEvent event,
         std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) {
    return;
  }
  std::string line = "time=" + FormatCurrentTime();
  if (!g_node.empty()) {
    line += " node=" + g_node;
  }
  line += ' ';
  line += FormatLine(level, event, fields);
  el::base::Writer(ToElLevel(level), __FILE__, __LINE__, "")
          .construct(1, "default")
      << line;
}

}  // namespace yuccamast
