#include "log/trace.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <tuple>

namespace yuccamast {

namespace {

/// Position of an event in the order of its attempt.
struct EventRank {
  std::string_view event;
  int rank;
};

constexpr std::array<EventRank, 7> kEventRanks = {{{"offer_refused", 0},
                                                   {"upstream_fault", 0},
                                                   {"run_cancelled", 1},
                                                   {"call_moved", 2},
                                                   {"call_retried", 2},
                                                   {"call_refused", 3},
                                                   {"call_finished", 3}}};

/// Rank of an event; 0 for an event without an entry in the table.
int RankOf(std::string_view event) {
  const auto row = std::ranges::find(kEventRanks, event, &EventRank::event);
  return row == kEventRanks.end() ? 0 : row->rank;
}

/// A line with its sort key.
struct TracedLine {
  long attempt = 0;
  int rank = 0;
  std::string text;
};

}  // namespace

std::string FieldOfLine(std::string_view line, std::string_view key) {
  std::size_t pos = 0;
  while (pos < line.size()) {
    const std::size_t equals = line.find('=', pos);
    if (equals == std::string_view::npos) {
      return "";
    }
    const std::string_view name = line.substr(pos, equals - pos);
    std::size_t begin = equals + 1;
    std::size_t end = begin;
    const bool quoted = begin < line.size() && line[begin] == '"';
    if (quoted) {
      ++begin;
      end = begin;
      while (end < line.size() && line[end] != '"') {
        end += line[end] == '\\' ? 2 : 1;
      }
    } else {
      end = std::min(line.find(' ', begin), line.size());
    }
    end = std::min(end, line.size());
    if (name == key) {
      return std::string(line.substr(begin, end - begin));
    }
    pos = std::min(end + (quoted ? 2 : 1), line.size());
  }
  return "";
}

std::vector<std::string> TraceCall(std::string_view id,
                                   const std::vector<NodeLog>& logs) {
  std::vector<TracedLine> found;
  std::ranges::for_each(logs, [&](const NodeLog& log) {
    std::ranges::for_each(log.lines, [&](const std::string& line) {
      if (FieldOfLine(line, "call") != id) {
        return;
      }
      const std::string attempt = FieldOfLine(line, "attempt");
      found.push_back({std::strtol(attempt.c_str(), nullptr, 10),
                       RankOf(FieldOfLine(line, "event")), line});
    });
  });
  std::ranges::stable_sort(found, [](const auto& a, const auto& b) {
    return std::tie(a.attempt, a.rank) < std::tie(b.attempt, b.rank);
  });
  std::vector<std::string> lines;
  std::ranges::transform(found, std::back_inserter(lines),
                         [](TracedLine& line) { return std::move(line.text); });
  return lines;
}

}  // namespace yuccamast
