#include "http/dialect.h"

#include <array>
#include <cmath>

namespace yuccamast {

namespace {

constexpr std::uint32_t kUpstreamShedStatus = 503;

// Indexed by ColdTimeFault.
constexpr std::array<std::string_view, 2> kColdTimeFaultNames = {
    "malformed", "out_of_range"};

Dialect MakeDefaultDialect() {
  Dialect dialect;
  dialect.deadline_field = kDeadlineField;
  dialect.classify_reply = [](const HttpReply& reply,
                              const std::string& /*id*/) {
    const bool shed = reply.status == kUpstreamShedStatus &&
                      FindField(reply.fields, kShedField) != nullptr;
    return shed ? ReplyClass::kNotRun : ReplyClass::kValid;
  };
  dialect.parse_load = [](const HttpReply& /*reply*/) {
    return std::optional<UpstreamLoad>();
  };
  dialect.parse_rate_limit = [](const HttpReply& reply) {
    const std::string* text = FindField(reply.fields, kRateLimitField);
    return text == nullptr ? RateLimit() : ParseDecimal(*text);
  };
  dialect.parse_cold_time = [](const HttpReply& reply) {
    return ParseColdTime(reply, kColdTimeField);
  };
  dialect.parse_health = [](const HttpReply& reply) {
    return HealthStatus{FindField(reply.fields, kLeavingField) == nullptr, ""};
  };
  dialect.indicates_leaving = [](const HttpReply& reply) {
    return FindField(reply.fields, kLeavingField) != nullptr;
  };
  dialect.retry_after = [](Duration wait) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return std::to_string(seconds);
  };
  return dialect;
}

}  // namespace

std::string_view NameOf(ColdTimeFault fault) {
  return kColdTimeFaultNames.at(static_cast<std::size_t>(fault));
}

Result<ColdTime, ColdTimeError> ParseColdTime(const HttpReply& reply,
                                              std::string_view field) {
  const std::string* text = FindField(reply.fields, field);
  if (text == nullptr) {
    const bool is_success = reply.status >= 200 && reply.status < 300;
    return is_success ? ColdTime(0) : ColdTime();
  }
  const auto time_ms = ParseDecimal(*text);
  if (!time_ms) {
    return ColdTimeError{ColdTimeFault::kMalformed, *text};
  }
  if (*time_ms > static_cast<double>(kMaxColdTime.count())) {
    return ColdTimeError{ColdTimeFault::kOutOfRange, *text};
  }
  return ColdTime(static_cast<std::int64_t>(std::ceil(*time_ms)));
}

const Dialect& DefaultDialect() {
  static const Dialect kDialect = MakeDefaultDialect();
  return kDialect;
}

}  // namespace yuccamast
