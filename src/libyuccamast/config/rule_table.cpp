#include "config/rule_table.h"

#include <algorithm>
#include <cctype>
#include <tuple>

namespace yuccamast {

namespace {

std::vector<std::string_view> Split(std::string_view path) {
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

/// Order in which rules are tried: priority, number of literal segments,
/// number of segments, a closed before an open end, a method before any.
struct Rank {
  std::int64_t priority = 0;
  std::int64_t literals = 0;
  std::int64_t segments = 0;
  bool closed = false;
  bool method = false;

  auto operator<=>(const Rank&) const = default;
};

Rank RankOf(const Rule& rule, const PathPattern& pattern) {
  Rank rank;
  rank.priority = rule.priority;
  rank.literals = std::ranges::count_if(
      pattern.segments, [](const auto& s) { return !IsWildcard(s); });
  rank.segments = static_cast<std::int64_t>(pattern.segments.size());
  rank.closed = !pattern.open_end;
  rank.method = rule.method != "*";
  return rank;
}

bool Matches(const PathPattern& pattern,
             const std::vector<std::string_view>& segments) {
  const std::size_t count = pattern.segments.size();
  if (segments.size() < count ||
      (segments.size() > count && !pattern.open_end)) {
    return false;
  }
  return std::equal(pattern.segments.begin(), pattern.segments.end(),
                    segments.begin(), [](const auto& want, const auto& have) {
                      return IsWildcard(want) || want == have;
                    });
}

bool CanShareRequest(const Rule& a,
                     const PathPattern& pa,
                     const Rule& b,
                     const PathPattern& pb) {
  const bool methods =
      a.method == "*" || b.method == "*" || a.method == b.method;
  const std::size_t common = std::min(pa.segments.size(), pb.segments.size());
  const bool lengths =
      pa.segments.size() == pb.segments.size() ||
      (pa.segments.size() < pb.segments.size() ? pa.open_end : pb.open_end);
  if (!methods || !lengths) {
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
  std::vector<std::string_view> parts = Split(text);
  if (!parts.empty() && parts.back() == "**") {
    pattern.open_end = true;
    parts.pop_back();
  }
  const bool bad = std::ranges::any_of(parts, [](std::string_view part) {
    const bool star = part.find('*') != std::string_view::npos;
    return star && !IsWildcard(part);
  });
  const bool root = text == "/" || pattern.open_end;
  if (bad || (!root && !IsUnambiguousPath(text))) {
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
      m_by_host[rule.host].emplace(rule.prefix, rule);
    }
  }
  std::ranges::sort(m_entries, [](const Entry& a, const Entry& b) {
    return RankOf(a.rule, a.pattern) > RankOf(b.rule, b.pattern);
  });
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const auto& segments = m_entries[i].pattern.segments;
    if (segments.empty() || IsWildcard(segments.front())) {
      m_any_first.push_back(i);
    } else {
      m_by_first[segments.front()].push_back(i);
    }
  }
}

const RuleTable::Entry* RuleTable::FindIn(
    const std::vector<std::size_t>& bucket,
    std::string_view method,
    const std::vector<std::string_view>& segments) const {
  const auto found = std::ranges::find_if(bucket, [&](std::size_t index) {
    const Entry& entry = m_entries[index];
    const bool same = entry.rule.method == "*" || entry.rule.method == method;
    return same && Matches(entry.pattern, segments);
  });
  return found == bucket.end() ? nullptr : &m_entries[*found];
}

const Rule* RuleTable::Find(std::string_view method,
                            std::string_view path) const {
  const std::vector<std::string_view> segments = Split(path);
  const Entry* best = FindIn(m_any_first, method, segments);
  if (!segments.empty()) {
    const auto bucket = m_by_first.find(segments.front());
    const Entry* named = bucket == m_by_first.end()
                             ? nullptr
                             : FindIn(bucket->second, method, segments);
    if (best == nullptr || (named != nullptr && named < best)) {
      best = named;
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
  const auto prefixes = m_by_host.find(name);
  if (prefixes == m_by_host.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so only cuts after a slash can match.
  for (std::size_t cut = path.rfind('/'); cut != std::string_view::npos;
       cut = cut == 0 ? std::string_view::npos : path.rfind('/', cut - 1)) {
    const auto found = prefixes->second.find(path.substr(0, cut + 1));
    if (found != prefixes->second.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

namespace {

/// Pairs of rules with the same host and prefix.
std::vector<RuleOverlap> FindSamePrefixes(
    const std::map<std::string, Rule, std::less<>>& rules) {
  std::vector<RuleOverlap> same;
  std::map<std::pair<std::string, std::string>, std::string> seen;
  for (const auto& [name, rule] : rules) {
    if (rule.prefix.empty()) {
      continue;
    }
    const auto [first, is_new] =
        seen.emplace(std::pair(rule.host, rule.prefix), name);
    if (!is_new) {
      same.push_back({first->second, name});
    }
  }
  return same;
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
  // Only rules of equal rank can overlap; they stand side by side.
  std::ranges::stable_sort(ranked, std::less<>(), &Ranked::rank);
  std::vector<RuleOverlap> overlaps = FindSamePrefixes(rules);
  for (std::size_t a = 0; a < ranked.size(); ++a) {
    for (std::size_t b = a + 1;
         b < ranked.size() && ranked[b].rank == ranked[a].rank; ++b) {
      if (CanShareRequest(*ranked[a].rule, ranked[a].pattern, *ranked[b].rule,
                          ranked[b].pattern)) {
        overlaps.push_back({ranked[a].rule->name, ranked[b].rule->name});
      }
    }
  }
  return overlaps;
}

}  // namespace yuccamast
