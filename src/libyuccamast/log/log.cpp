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

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

constexpr std::array<std::string_view, kLogEventCount> kEventNames = {
    "node_started",      "node_leaving",         "node_stopped",
    "stop_overrun",      "stop_call_left",       "settings_refused",
    "config_accepted",   "config_refused",       "config_stale",
    "config_conflict",   "platform_unreachable", "platform_reachable",
    "vm_list_accepted",  "vm_list_refused",      "peer_connected",
    "peer_lost",         "pause_noticed",        "call_refused",
    "call_finished",     "call_retried",         "upstream_fault",
    "offer_refused",     "caller_refused",       "member_changed",
    "upstream_draining", "upstream_named",       "call_moved",
    "run_cancelled",     "settings_reloaded",    "log_suppressed",
    "log_dropped",       "source_call_failed",   "source_item_refused",
    "internal"};

std::atomic<LogLevel> g_lowest{LogLevel::kWarning};
std::string g_node;  // Written before threads start.

/// Lines that wait for the reader of the log, at most.
constexpr std::size_t kMaxHeldBytes = 256U << 10U;

std::unique_ptr<LineWriter> g_writer;  // Made before threads start.

/// Hands formatted lines to the writer as they are.
class WriterSink : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    if (g_writer != nullptr) {
      g_writer->Push(data->logMessage()->message());
    }
  }
};

/// A bucket of tokens that fills with time.
class LineRate {
 public:
  explicit LineRate(double per_second) : m_per_second(per_second) {}

  /// Takes a token. On success `withheld` is the number of failures since the
  /// last success.
  bool Take(std::uint64_t& withheld) {
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - m_filled_at;
    m_filled_at = now;
    m_tokens = std::min(m_per_second * kLogBurstSeconds,
                        m_tokens + passed.count() * m_per_second);
    if (m_tokens < 1.0) {
      ++m_withheld;
      return false;
    }
    m_tokens -= 1.0;
    withheld = std::exchange(m_withheld, 0);
    return true;
  }

 private:
  std::mutex m_mutex;
  const double m_per_second;
  double m_tokens = m_per_second * kLogBurstSeconds;
  std::uint64_t m_withheld = 0;
  std::chrono::steady_clock::time_point m_filled_at =
      std::chrono::steady_clock::now();
};

LineRate g_samples(kSamplesPerSecond);
LineRate g_decisions(kDecisionsPerSecond);

std::string TimeStamp() {
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

el::Level LevelOf(LogLevel level) {
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

void SetUpLog(LogLevel lowest, std::string_view node) {
  g_lowest = lowest;
  g_node = node;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger("default", settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  g_writer = std::make_unique<LineWriter>(STDOUT_FILENO, kMaxHeldBytes);
  el::Helpers::installLogDispatchCallback<WriterSink>("WriterSink");
}

void CloseLog() {
  g_writer.reset();
}

bool TakeLogToken(LogClass log_class) {
  std::uint64_t withheld = 0;
  const bool sample = log_class == LogClass::kSample;
  const bool may = (sample ? g_samples : g_decisions).Take(withheld);
  if (may && !sample && withheld > 0) {
    Log(LogLevel::kWarning, LogEvent::kLogSuppressed, {{"lines", withheld}});
  }
  return may;
}

bool IsLogged(LogLevel level) {
  return level >= g_lowest.load(std::memory_order_relaxed);
}

void Log(LogLevel level,
         LogEvent event,
         std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) {
    return;
  }
  std::string line = "time=" + TimeStamp();
  if (!g_node.empty()) {
    line += " node=" + g_node;
  }
  line += ' ';
  line += FormatLine(level, event, fields);
  el::base::Writer(LevelOf(level), __FILE__, __LINE__, "")
          .construct(1, "default")
      << line;
}

}  // namespace yuccamast
