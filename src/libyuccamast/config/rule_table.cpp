#include "config/rule_table.h"

#include <algorithm>
#include <cctype>
#include <tuple>

namespace yuccamast {

namespace {

/// The segments of a path that begins with a slash; one empty segment for `/`.
std::vector<std::string_view> SplitSegments(std::string_view path) {
  std::vector<std::string_view> parts;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    parts.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

bool IsWildcard(std::string_view segment) {
  return segment == "*";
}

/// Precedence of a pattern rule, compared member by member; see rule_table.h.
struct Rank {
  std::int64_t priority = 0;
  std::int64_t literal_segments = 0;
  std::int64_t segments = 0;
  bool exact_length = false;
  bool specific_method = false;

  auto operator<=>(const Rank&) const = default;
};

Rank RankOf(const Rule& rule, const PathPattern& pattern) {
  Rank rank;
  rank.priority = rule.priority;
  rank.literal_segments = std::ranges::count_if(
      pattern.segments, [](const auto& s) { return !IsWildcard(s); });
  rank.segments = static_cast<std::int64_t>(pattern.segments.size());
  rank.exact_length = !pattern.matches_rest;
  rank.specific_method = rule.method != "*";
  return rank;
}

bool Matches(const PathPattern& pattern,
             const std::vector<std::string_view>& segments) {
  const std::size_t count = pattern.segments.size();
  if (segments.size() < count ||
      (segments.size() > count && !pattern.matches_rest)) {
    return false;
  }
  return std::equal(pattern.segments.begin(), pattern.segments.end(),
                    segments.begin(),
                    [](const auto& expected, const auto& actual) {
                      return IsWildcard(expected) || expected == actual;
                    });
}

/// Whether some request matches both rules.
bool CanMatchSameRequest(const Rule& a,
                         const PathPattern& pa,
                         const Rule& b,
                         const PathPattern& pb) {
  const bool methods_overlap =
      a.method == "*" || b.method == "*" || a.method == b.method;
  const std::size_t common = std::min(pa.segments.size(), pb.segments.size());
  const bool lengths_overlap =
      pa.segments.size() == pb.segments.size() ||
      (pa.segments.size() < pb.segments.size() ? pa.matches_rest
                                               : pb.matches_rest);
  if (!methods_overlap || !lengths_overlap) {
    return false;
  }
  return std::equal(pa.segments.begin(),
                    pa.segments.begin() + static_cast<long>(common),
                    pb.segments.begin(), [](const auto& x, const auto& y) {
                      return IsWildcard(x) || IsWildcard(y) || x == y;
                    });
}

}  // namespace

std::optional<PathPattern> ParsePattern(std::string_view text) {
  if (text.empty() || text.front() != '/') {
    return std::nullopt;
  }
  PathPattern pattern;
  std::vector<std::string_view> parts = SplitSegments(text);
  if (!parts.empty() && parts.back() == "**") {
    pattern.matches_rest = true;
    parts.pop_back();
  }
  const bool has_bad_wildcard =
      std::ranges::any_of(parts, [](std::string_view part) {
        const bool has_star = part.find('*') != std::string_view::npos;
        return has_star && !IsWildcard(part);
      });
  const bool skips_path_check = text == "/" || pattern.matches_rest;
  if (has_bad_wildcard || (!skips_path_check && !IsUnambiguousPath(text))) {
    return std::nullopt;
  }
  pattern.segments.assign(parts.begin(), parts.end());
  return pattern;
}

RuleTable::RuleTable(const std::map<std::string, Rule, std::less<>>& rules) {
  for (const auto& [name, rule] : rules) {
    if (rule.prefix.empty()) {
      m_entries.push_back({rule, *ParsePattern(rule.path)});
    } else {
      m_prefix_rules_by_host[rule.host].emplace(rule.prefix, rule);
    }
  }
  std::ranges::sort(m_entries, [](const Entry& a, const Entry& b) {
    return RankOf(a.rule, a.pattern) > RankOf(b.rule, b.pattern);
  });
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const auto& segments = m_entries[i].pattern.segments;
    if (segments.empty() || IsWildcard(segments.front())) {
      m_any_first_segment.push_back(i);
    } else {
      m_by_first_segment[segments.front()].push_back(i);
    }
  }
}

const RuleTable::Entry* RuleTable::FindInBucket(
    const std::vector<std::size_t>& bucket,
    std::string_view method,
    const std::vector<std::string_view>& segments) const {
  const auto found = std::ranges::find_if(bucket, [&](std::size_t index) {
    const Entry& entry = m_entries[index];
    const bool method_matches =
        entry.rule.method == "*" || entry.rule.method == method;
    return method_matches && Matches(entry.pattern, segments);
  });
  return found == bucket.end() ? nullptr : &m_entries[*found];
}

const Rule* RuleTable::Find(std::string_view method,
                            std::string_view path) const {
  const std::vector<std::string_view> segments = SplitSegments(path);
  const Entry* best = FindInBucket(m_any_first_segment, method, segments);
  if (!segments.empty()) {
    const auto bucket = m_by_first_segment.find(segments.front());
    const Entry* literal_match =
        bucket == m_by_first_segment.end()
            ? nullptr
            : FindInBucket(bucket->second, method, segments);
    // Entries are sorted by rank, so the lower address has the higher rank.
    if (best == nullptr || (literal_match != nullptr && literal_match < best)) {
      best = literal_match;
    }
  }
  return best == nullptr ? nullptr : &best->rule;
}

const Rule* RuleTable::FindPrefix(std::string_view host,
                                  std::string_view path) const {
  std::string name(host.substr(0, host.rfind(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  const auto prefixes = m_prefix_rules_by_host.find(name);
  if (prefixes == m_prefix_rules_by_host.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only the parts of the path that end with
  // a slash are looked up, from the longest to the shortest.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

namespace {

/// Pairs of prefix rules with the same host and prefix: the first of them with
/// each other one.
std::vector<RuleOverlap> FindSamePrefixes(
    const std::map<std::string, Rule, std::less<>>& rules) {
  std::vector<RuleOverlap> duplicates;
  using HostAndPrefix = std::pair<std::string_view, std::string_view>;
  std::map<HostAndPrefix, std::string_view> seen;
  for (const auto& [name, rule] : rules) {
    if (rule.prefix.empty()) {
      continue;
    }
    const auto [first, is_new] =
        seen.emplace(HostAndPrefix(rule.host, rule.prefix), name);
    if (!is_new) {
      duplicates.push_back({std::string(first->second), name});
    }
  }
  return duplicates;
}

}  // namespace

std::vector<RuleOverlap> FindOverlaps(
    const std::map<std::string, Rule, std::less<>>& rules) {
  struct Ranked {
    const Rule* rule;
    PathPattern pattern;
    Rank rank;
  };
  std::vector<Ranked> ranked;
  for (const auto& [name, rule] : rules) {
    if (!rule.prefix.empty()) {
      continue;
    }
    PathPattern pattern = *ParsePattern(rule.path);
    const Rank rank = RankOf(rule, pattern);
    ranked.push_back({&rule, std::move(pattern), rank});
  }
  // Only rules of equal rank can overlap; sorting makes them adjacent.
  std::ranges::stable_sort(ranked, std::less<>(), &Ranked::rank);
  std::vector<RuleOverlap> overlaps = FindSamePrefixes(rules);
  for (std::size_t a = 0; a < ranked.size(); ++a) {
    for (std::size_t b = a + 1;
         b < ranked.size() && ranked[b].rank == ranked[a].rank; ++b) {
      if (CanMatchSameRequest(*ranked[a].rule, ranked[a].pattern,
                              *ranked[b].rule, ranked[b].pattern)) {
        overlaps.push_back({ranked[a].rule->name, ranked[b].rule->name});
      }
    }
  }
  return overlaps;
}

}  // namespace yuccamast
