#pragma once

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "yuccamast/json_value.h"
#include "yuccamast/outcome/refusal.h"

/// \file metrics.h
/// Counters and latency histograms of one node.
///
/// Counters are relaxed atomics, histograms are Boost.Histogram with atomic
/// cells, so the path of a request takes no lock. Both are read for the dump
/// and for the text page in the Prometheus exposition format.

namespace yuccamast {

/// What is counted. Names and help texts in metrics.cpp.
enum class Counter : std::uint8_t {
  kCallsReceived,
  kCallsAnswered,
  kCallsMoved,
  kCallsRetried,
  kRetriesDenied,
  kCallersGone,
  kCallerConnections,
  kCallerConnectionsRefused,
  kOffersReceived,
  kOffersAdmitted,
  kOffersRepeated,
  kRunsStarted,
  kRunsFinished,
  kUpstreamConnects,
  kUpstreamReuses,
  kPeerConnects,
  kPeerLosses,
  kProbesSent,
  kLoadAsked,
  kPauses,
  kConfigReads,
  kVmListReads,
  kSourceItemsRefused,
  kControlBytesSent,
  kControlBytesReceived,
  kControlMessagesSent,
  kControlMessagesReceived,
  kControlMessagesRefused,
  kCount,
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kCount);

std::string_view NameOf(Counter counter);

/// Which duration a histogram holds.
enum class Latency : std::uint8_t {
  kCall,      ///< Entry: request read whole to reply handed to the socket.
  kAdded,     ///< Entry: the same less the time the exit saw at the upstream.
  kQueue,     ///< Exit: admitted to started.
  kUpstream,  ///< Exit: started to whole reply.
  kCount,
};

inline constexpr std::size_t kLatencyCount =
    static_cast<std::size_t>(Latency::kCount);

std::string_view NameOf(Latency latency);

/// Logarithmic buckets from 10 microseconds to 100 seconds, 20 a decade.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Thread-safe, without locks.
  void Record(std::chrono::nanoseconds duration);

  /// Upper edge, in seconds, of the bucket that holds quantile `q` of 0..1.
  /// Zero if nothing was recorded.
  double Quantile(double q) const;

  std::uint64_t count() const;
  double sum_seconds() const;

  /// Calls `visit(upper_edge_seconds, cumulative_count)` for each bucket that
  /// is not empty.
  template <typename Visit>
  void ForEachBucket(Visit visit) const {
    std::uint64_t total = 0;
    for (auto&& cell : boost::histogram::indexed(
             m_histogram, boost::histogram::coverage::all)) {
      const std::uint64_t count = cell.get();
      total += count;
      if (count > 0) {
        visit(cell.bin().upper(), total);
      }
    }
  }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Cells = boost::histogram::dense_storage<Cell>;
  using Table = boost::histogram::histogram<std::tuple<Axis>, Cells>;

  Table m_histogram;
  std::atomic<std::int64_t> m_sum_ns{0};
};

/// All counters and histograms of a node. Thread-safe.
class Metrics {
 public:
  void Add(Counter counter, std::uint64_t amount = 1) {
    m_counters[static_cast<std::size_t>(counter)].fetch_add(
        amount, std::memory_order_relaxed);
  }
  std::uint64_t Get(Counter counter) const {
    return m_counters[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }
  void AddRefusal(RefusalReason reason) {
    m_refusals[static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
  }
  std::uint64_t GetRefusals(RefusalReason reason) const {
    return m_refusals[static_cast<std::size_t>(reason)].load(
        std::memory_order_relaxed);
  }
  void Record(Latency latency, std::chrono::nanoseconds duration) {
    m_latencies[static_cast<std::size_t>(latency)].Record(duration);
  }
  const LatencyHistogram& Get(Latency latency) const {
    return m_latencies[static_cast<std::size_t>(latency)];
  }

  /// Everything, for the dump.
  JsonValue ToJson() const;

  /// Everything, in the Prometheus text format.
  std::string ToText() const;

 private:
  std::array<std::atomic<std::uint64_t>, kCounterCount> m_counters{};
  std::array<std::atomic<std::uint64_t>, kRefusalReasonCount> m_refusals{};
  std::array<LatencyHistogram, kLatencyCount> m_latencies;
};

}  // namespace yuccamast
