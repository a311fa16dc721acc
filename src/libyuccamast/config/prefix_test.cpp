#include <criterion/criterion.h>

#include "yuccamast/config/configuration.h"

using namespace yuccamast;  // NOLINT

namespace {

const char* const kPrefixes = R"({
  "services": {"ledger": {"health_path": "/health"}, "rounds": {}},
  "rules": {
    "all": {"host": "a.example", "prefix": "/", "service": "ledger"},
    "book": {"host": "a.example", "prefix": "/book/", "service": "ledger"},
    "deep": {"host": "a.example", "prefix": "/book/van/", "service": "rounds"},
    "parted": {"host": "b.example", "prefix": "/x/",
               "split": {"ledger": 90, "rounds": 10}}},
  "bounds": {"callers": {"max_head_bytes": 4096, "idle_timeout_ms": 9000}}})";

Configuration Merge(const std::string& text) {
  auto merged = MergeConfiguration({{"10.json", text}}, 1);
  cr_assert(static_cast<bool>(merged));
  return std::move(merged.value());
}

/// Name of the rule for a request; empty if there is none.
std::string RuleNameOf(const Configuration& config,
                       std::string_view host,
                       std::string_view path) {
  const Rule* rule = FindPrefixRule(config, host, path);
  return rule == nullptr ? "" : rule->name;
}

/// The first error of a configuration with the rule `r` as given.
ConfigFault FaultOf(const std::string& rule) {
  const auto merged = MergeConfiguration(
      {{"10.json", R"({"services": {"s": {}}, "rules": {"r": )" + rule + "}}"}},
      1);
  cr_assert(!merged);
  return merged.error().front().fault;
}

}  // namespace

Test(prefix, longest_prefix_of_the_host_wins) {
  const Configuration config = Merge(kPrefixes);
  cr_expect_eq(RuleNameOf(config, "a.example", "/book/van/7"), "deep");
  cr_expect_eq(RuleNameOf(config, "a.example", "/book/7"), "book");
  cr_expect_eq(RuleNameOf(config, "a.example", "/book"), "all");
  cr_expect_eq(RuleNameOf(config, "a.example", "/bookvan/7"), "all");
  cr_expect_eq(RuleNameOf(config, "b.example", "/x/"), "parted");
  cr_expect_eq(RuleNameOf(config, "b.example", "/y/"), "");
  cr_expect_eq(RuleNameOf(config, "c.example", "/book/7"), "");
}

Test(prefix, case_and_port_of_the_host_are_ignored) {
  const Configuration config = Merge(kPrefixes);
  cr_expect_eq(RuleNameOf(config, "A.Example:8080", "/book/7"), "book");
}

// Unlike patterns, prefixes also apply to ambiguous paths: such paths are
// neither normalised nor refused.
Test(prefix, path_is_compared_byte_by_byte) {
  const Configuration config = Merge(kPrefixes);
  cr_expect_eq(RuleNameOf(config, "a.example", "/book//7/../%2e"), "book");
  cr_expect_eq(RuleNameOf(config, "a.example", "/Book/7"), "all");
}

Test(prefix, splits_and_bounds_are_read) {
  const Configuration config = Merge(kPrefixes);
  cr_assert_eq(config.rules.at("parted").split.size(), 2U);
  cr_expect_eq(config.rules.at("parted").split[0].weight, 90U);
  cr_expect_eq(config.callers.max_head_bytes.value(), 4096U);
  cr_expect_not(config.callers.max_body_bytes.has_value());
}

Test(prefix, malformed_prefix_rules_are_refused) {
  cr_expect(FaultOf(R"({"host": "h", "prefix": "/x", "service": "s"})") ==
            ConfigFault::kBadPrefix);
  cr_expect(FaultOf(R"({"host": "H", "prefix": "/x/", "service": "s"})") ==
            ConfigFault::kBadPrefix);
  cr_expect(FaultOf(R"({"prefix": "/x/", "service": "s"})") ==
            ConfigFault::kBadPrefix);
  cr_expect(FaultOf(R"({"host": "h", "prefix": "/x/", "split": {"t": 1}})") ==
            ConfigFault::kDanglingService);
  cr_expect(FaultOf(R"({"host": "h", "prefix": "/x/", "split": {"s": 0}})") ==
            ConfigFault::kOutOfRange);
  cr_expect(FaultOf(R"({"host": "h", "prefix": "/x/", "service": "s"},
                        "r2": {"host": "h", "prefix": "/x/",
                               "service": "s"})") == ConfigFault::kOverlap);
}
