#include "http/dialect.h"

namespace yuccamast {

namespace {

constexpr std::uint32_t kShedStatus = 503;

Dialect MakeOwnDialect() {
  Dialect dialect;
  dialect.deadline_field = kDeadlineField;
  dialect.judge = [](const HttpReply& reply, const std::string& /*id*/) {
    const bool shed = reply.status == kShedStatus &&
                      FindField(reply.fields, kShedField) != nullptr;
    return shed ? ReplyVerdict::kNotRun : ReplyVerdict::kTaken;
  };
  dialect.read_load = [](const HttpReply& /*reply*/) {
    return std::optional<UpstreamLoad>();
  };
  dialect.read_health = [](const HttpReply& reply) {
    return HealthWord{FindField(reply.fields, kLeavingField) == nullptr, ""};
  };
  dialect.says_leaving = [](const HttpReply& reply) {
    return FindField(reply.fields, kLeavingField) != nullptr;
  };
  dialect.retry_after = [](Duration wait) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return std::to_string(seconds);
  };
  return dialect;
}

}  // namespace

const Dialect& OwnDialect() {
  static const Dialect kDialect = MakeOwnDialect();
  return kDialect;
}

}  // namespace yuccamast
