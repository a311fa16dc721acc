#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/config/configuration.h"

/// \file rule_table.h
/// Looks up the rule of a request, and finds rules that contradict each other.

namespace yuccamast {

/// A path pattern cut into segments.
struct PathPattern {
  std::vector<std::string> segments;  ///< A literal, or `*`.
  bool open_end = false;              ///< Ended in `**`.
};

/// Parses a pattern, or nothing if it is malformed.
std::optional<PathPattern> ParsePattern(std::string_view text);

/// The rules in the order in which they are tried, by their first segment.
/// Immutable after construction. Holds copies, so it can outlive its source.
class RuleTable {
 public:
  explicit RuleTable(const std::map<std::string, Rule, std::less<>>& rules);

  /// The first rule in rank order that matches, or null.
  const Rule* Find(std::string_view method, std::string_view path) const;

  /// The rule with the longest prefix of `host` that begins `path`, or null.
  const Rule* FindPrefix(std::string_view host, std::string_view path) const;

 private:
  struct Entry {
    Rule rule;
    PathPattern pattern;
  };

  const Entry* FindIn(const std::vector<std::size_t>& bucket,
                      std::string_view method,
                      const std::vector<std::string_view>& segments) const;

  std::vector<Entry> m_entries;  ///< In rank order.
  std::map<std::string, std::vector<std::size_t>, std::less<>> m_by_first;
  std::vector<std::size_t> m_any_first;
  /// Prefix rules by host, then by prefix.
  std::map<std::string, std::map<std::string, Rule, std::less<>>, std::less<>>
      m_by_host;
};

/// Two rules of equal rank that can match the same request.
struct RuleOverlap {
  std::string first;
  std::string second;
};

/// Every pair of rules that overlap: patterns of equal rank that can match the
/// same request, or the same prefix of the same host twice. Precondition: all
/// paths parse.
std::vector<RuleOverlap> FindOverlaps(
    const std::map<std::string, Rule, std::less<>>& rules);

}  // namespace yuccamast
