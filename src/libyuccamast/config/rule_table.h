#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/config/configuration.h"

/// \file rule_table.h
/// Looks up the rule of a request, and finds rules that conflict.
///
/// A pattern rule is matched segment by segment: a literal segment matches
/// itself, `*` matches any one segment, and a final `**` matches all segments
/// that follow, also none. Of several matching rules, the one of the highest
/// rank applies. Rank compares, in this order: the priority, the number of
/// literal segments, the number of segments, a pattern without `**` before one
/// with it, a rule for one method before a rule for any.
///
/// Pattern rules are bucketed by their first segment. A lookup scans, in rank
/// order, the bucket of the request's first segment and that of the wildcards:
/// it is linear in the number of rules of these two buckets.
///
/// Prefix rules are found by longest prefix match: at most one map lookup for
/// each slash of the path, from the longest prefix to the shortest.

namespace yuccamast {

/// A path pattern, split into segments.
struct PathPattern {
  std::vector<std::string> segments;  ///< A literal, or `*`.
  bool matches_rest = false;          ///< It ends in `**`.
};

/// Parses a pattern; nothing if it is malformed. `*` must be a segment of its
/// own, `**` must be the last one. A pattern without `**` must also pass
/// `IsUnambiguousPath`. Thread-safe.
std::optional<PathPattern> ParsePattern(std::string_view text);

/// Index of rules. Immutable after construction, so lookups are thread-safe.
/// Holds copies of the rules, so it may outlive the map that it is built from.
class RuleTable {
 public:
  /// Precondition: the path of every rule without a prefix is a valid pattern.
  explicit RuleTable(const std::map<std::string, Rule, std::less<>>& rules);

  /// The pattern rule of the highest rank that matches, or null. `path` begins
  /// with a slash and has no query part. The rule lives as long as the table.
  const Rule* Find(std::string_view method, std::string_view path) const;

  /// The rule with the longest prefix of `host` that `path` starts with, or
  /// null. The case and the port of `host` are ignored. A query part of `path`
  /// is allowed and is compared like the rest of it.
  const Rule* FindPrefix(std::string_view host, std::string_view path) const;

 private:
  struct Entry {
    Rule rule;
    PathPattern pattern;
  };

  /// The first entry of `bucket` that matches, or null.
  const Entry* FindInBucket(
      const std::vector<std::size_t>& bucket,
      std::string_view method,
      const std::vector<std::string_view>& segments) const;

  std::vector<Entry> m_entries;  ///< Pattern rules, by descending rank.
  /// Indices into `m_entries`, ascending, by a literal first segment.
  std::map<std::string, std::vector<std::size_t>, std::less<>>
      m_by_first_segment;
  /// Indices of the entries whose pattern has no literal first segment.
  std::vector<std::size_t> m_any_first_segment;
  /// Prefix rules by host, then by prefix.
  std::map<std::string, std::map<std::string, Rule, std::less<>>, std::less<>>
      m_prefix_rules_by_host;
};

/// Names of two rules that can match the same request with equal rank.
struct RuleOverlap {
  std::string first;
  std::string second;
};

/// The pairs of rules that overlap: all pattern rules of equal rank that can
/// match the same request, and prefix rules with the same host and prefix, of
/// which the first by name is paired with each of the others. Precondition: the
/// path of every rule without a prefix is a valid pattern. Quadratic in the
/// number of rules of equal rank. Thread-safe.
std::vector<RuleOverlap> FindOverlaps(
    const std::map<std::string, Rule, std::less<>>& rules);

}  // namespace yuccamast
