#include "http/dialect.h"

namespace yuccamast {

namespace {

constexpr std::uint32_t kUpstreamShedStatus = 503;

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

const Dialect& DefaultDialect() {
  static const Dialect kDialect = MakeDefaultDialect();
  return kDialect;
}

}  // namespace yuccamast
