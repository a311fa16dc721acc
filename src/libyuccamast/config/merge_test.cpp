#include <criterion/criterion.h>

#include <algorithm>

#include "yuccamast/config/config_selector.h"
#include "yuccamast/config/configuration.h"

using namespace yuccamast;  // NOLINT

namespace {

const std::string kBase = R"({
  "services": {"bookings": {}, "ledger": {"policy": "random"}},
  "upstreams": {"bookings-1": {"service": "bookings", "vm": "vm-1"},
                "ledger-1": {"service": "ledger", "vm": "vm-2", "slots": 4}},
  "rules": {"book": {"service": "bookings", "method": "POST",
                     "path": "/bookings"},
            "read": {"service": "bookings", "method": "GET",
                     "path": "/bookings/*", "idempotent": true}}
})";

Configuration Merge(std::vector<ConfigFile> files) {
  auto merged = MergeConfiguration(std::move(files), 1);
  cr_assert(static_cast<bool>(merged));
  return std::move(merged.value());
}

/// The error of `files`, of which there must be exactly one.
ConfigError OnlyError(std::vector<ConfigFile> files) {
  const auto merged = MergeConfiguration(std::move(files), 1);
  cr_assert(!merged);
  cr_assert_eq(merged.error().size(), 1U);
  return merged.error().front();
}

/// Expects that `text`, merged after `kBase`, gives one error, which names the
/// file and `key`.
void ExpectError(const std::string& text,
                 const std::string& key,
                 ConfigFault fault) {
  const ConfigError error =
      OnlyError({{"10-base.json", kBase}, {"90-fix.json", text}});
  cr_expect_eq(error.file, "90-fix.json");
  cr_expect_eq(error.key, key, "key %s", error.key.c_str());
  cr_expect(error.fault == fault, "fault %s", NameOf(error.fault).data());
}

}  // namespace

Test(merge, later_files_override_fields_and_remove_entries) {
  const Configuration config =
      Merge({{"90-fix.json",
              R"({"rules": {"book": {"deadline_ms": 300}, "read": null}})"},
             {"10-base.json", kBase}});
  cr_expect_eq(config.rules.at("book").deadline.count(), 300);
  cr_expect_eq(config.rules.at("book").path, "/bookings");
  cr_expect_eq(config.rules.size(), 1U);
}

// Guards against a limit of cold upstreams that is read wrongly and so breaks
// them, or stops them altogether.
Test(merge, limits_of_cold_upstreams_are_checked) {
  const Configuration config = Merge(
      {{"10-base.json", kBase}, {"90-fix.json", R"({"services": {"bookings": {
                 "cold_starts_per_s": 12.5, "cold_start_ms": 3000}}})"}});
  cr_expect_eq(config.services.at("bookings").cold_starts_per_s, 12.5);
  cr_expect_eq(config.services.at("bookings").cold_start.count(), 3000);
  cr_expect_eq(config.services.at("ledger").cold_starts_per_s, 0);
  const auto expect_error = [](const std::string& field,
                               const std::string& value, ConfigFault fault) {
    ExpectError(
        R"({"services": {"bookings": {")" + field + "\": " + value + "}}}",
        "services.bookings." + field, fault);
  };
  expect_error("cold_starts_per_s", "-1", ConfigFault::kOutOfRange);
  expect_error("cold_starts_per_s", "1e300", ConfigFault::kOutOfRange);
  expect_error("cold_starts_per_s", "\"19\"", ConfigFault::kWrongType);
  expect_error("cold_start_ms", "-1", ConfigFault::kOutOfRange);
  expect_error("cold_start_ms", "\"3s\"", ConfigFault::kWrongType);
}

Test(merge, null_restores_the_default_of_a_field) {
  const Configuration config = Merge(
      {{"10-base.json", kBase},
       {"90-fix.json", R"({"upstreams": {"ledger-1": {"slots": null}}})"}});
  cr_expect_eq(config.upstreams.at("ledger-1").slots, 10U);
}

// Idempotence must be stated: a GET that is wrongly taken as idempotent could
// be run twice.
Test(merge, rules_default_to_non_idempotent_even_for_get) {
  const Configuration config =
      Merge({{"10-base.json", kBase},
             {"20-more.json",
              R"({"rules": {"g": {"service": "ledger", "method": "GET",
                            "path": "/ledger"}}})"}});
  cr_expect_not(config.rules.at("g").idempotent);
}

// Each case is one mistake in a later file. The error must name that file and
// the key, not the file in which the entry was first defined.
Test(merge, reports_each_kind_of_error_with_file_and_key) {
  ExpectError(R"({"rulez": {}})", "rulez", ConfigFault::kUnknownKey);
  ExpectError(R"({"rules": {"book": {"pth": "/x"}}})", "rules.book.pth",
              ConfigFault::kUnknownKey);
  ExpectError(R"({"rules": {"book": {"idempotent": "yes"}}})",
              "rules.book.idempotent", ConfigFault::kWrongType);
  ExpectError(R"({"rules": {"book": {"deadline_ms": 0}}})",
              "rules.book.deadline_ms", ConfigFault::kOutOfRange);
  ExpectError(R"({"rules": {"book": {"service": "bokings"}}})",
              "rules.book.service", ConfigFault::kDanglingService);
  ExpectError(R"({"services": {"ledger": {"policy": "best"}}})",
              "services.ledger.policy", ConfigFault::kUnknownName);
  ExpectError(R"({"rules": {"bok": null}})", "rules.bok",
              ConfigFault::kRemovesNothing);
  ExpectError(R"({"rules": {"n": {"service": "ledger", "path": "x"}}})",
              "rules.n.path", ConfigFault::kBadPath);
  ExpectError(R"({"upstreams": {"b": {"service": "ledger", "vm": "vm-1"}}})",
              "upstreams.b.vm", ConfigFault::kDuplicateVm);
  ExpectError(R"({"rules": {"book": )", "", ConfigFault::kBadJson);
  ExpectError(R"({"rules": {"x": {}, "x": {}}})", "", ConfigFault::kBadJson);
}

// Nothing defines which of two rules of equal rank applies to a request that
// both match.
Test(merge, overlapping_rules_of_equal_rank_are_an_error) {
  ExpectError(R"({"rules": {"s": {"service": "ledger", "method": "GET",
                                  "path": "/bookings/*"}}})",
              "rules.s", ConfigFault::kOverlap);
}

// More literal segments win, a higher priority wins before that, and `**` also
// matches no segment.
Test(merge, rule_of_highest_rank_wins) {
  const Configuration config =
      Merge({{"10-base.json", kBase},
             {"20-more.json",
              R"({"rules": {"new": {"service": "ledger", "method": "GET",
                              "path": "/bookings/new"},
                      "rest": {"service": "ledger", "path": "/**"},
                      "first": {"service": "ledger", "method": "PUT",
                                "path": "/*/new", "priority": 5}}})"}});
  cr_expect_eq(FindRule(config, "GET", "/bookings/new")->name, "new");
  cr_expect_eq(FindRule(config, "GET", "/bookings/7")->name, "read");
  cr_expect_eq(FindRule(config, "GET", "/bookings/7/x")->name, "rest");
  cr_expect_eq(FindRule(config, "PUT", "/bookings/new")->name, "first");
  cr_expect_eq(FindRule(config, "GET", "/")->name, "rest");
}

Test(merge, request_without_a_matching_rule_finds_none) {
  const Configuration config = Merge({{"10-base.json", kBase}});
  cr_expect_null(FindRule(config, "DELETE", "/bookings"));
  cr_expect_null(FindRule(config, "POST", "/bookings/1"));
}

// Servers interpret such paths in different ways, so a rule could be bypassed
// by another spelling of its path.
Test(merge, ambiguous_paths_are_refused) {
  for (const char* path :
       {"", "x", "/a//b", "/a/./b", "/a/../b", "/a/..", "/a%2fb", "/a%2E%2e",
        "/a\\b", "/a/", "/a;x=1", "/a b", "/a\x01"}) {
    cr_expect_not(IsUnambiguousPath(path), "%s", path);
  }
  for (const char* path : {"/", "/a", "/a/b.json", "/a/b%20c"}) {
    cr_expect(IsUnambiguousPath(path), "%s", path);
  }
}

// A service that serves an older revision must not roll the node back.
Test(config_selector, never_returns_to_an_older_revision) {
  ConfigSelector selector;
  const std::vector<ConfigFile> first = {{"10-base.json", kBase}};
  const std::vector<ConfigFile> second = {
      {"10-base.json", kBase},
      {"20.json", R"({"rules": {"book": {"deadline_ms": 7}}})"}};
  cr_expect(selector.Submit(second, 5) == ConfigVerdict::kAccepted);
  cr_expect(selector.Submit(first, 4) == ConfigVerdict::kOlder);
  cr_expect(selector.Submit(second, 5) == ConfigVerdict::kSame);
  cr_expect_eq(selector.version().revision, 5U);
}

Test(config_selector, revision_with_errors_is_refused_and_the_old_one_stays) {
  ConfigSelector selector;
  selector.Submit({{"10-base.json", kBase}}, 1);
  cr_expect(selector.Submit({{"10-base.json", "{"}}, 2) ==
            ConfigVerdict::kRefused);
  cr_expect_eq(selector.version().revision, 1U);
  cr_expect_eq(selector.refused_version().revision, 2U);
  cr_expect_eq(selector.refused_errors().size(), 1U);
}

// A publisher that reuses a revision must not leave nodes with different
// configurations, whichever of the two each node reads first.
Test(config_selector, conflicting_contents_converge_in_any_order) {
  const std::vector<ConfigFile> a = {{"10-base.json", kBase}};
  const std::vector<ConfigFile> b = {{"11-base.json", kBase}};
  ConfigSelector left;
  ConfigSelector right;
  left.Submit(a, 1);
  left.Submit(b, 1);
  right.Submit(b, 1);
  right.Submit(a, 1);
  cr_expect(left.version() == right.version());
  cr_expect(left.conflict_seen());
  cr_expect(right.conflict_seen());
}
