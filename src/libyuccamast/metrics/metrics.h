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
/// Counters are atomics with relaxed order; histograms are Boost.Histogram with
/// atomic cells. Recording therefore takes no lock on the path of a request.
/// Reading is not a consistent snapshot: counters that are read one after the
/// other may differ by calls in between.
///
/// Output: a JSON object for the dump of the node, and a page in the Prometheus
/// text exposition format.

namespace yuccamast {

/// Counters. Their names and help texts are in metrics.cpp, in the same order.
enum class Counter : std::uint8_t {
  kCallsReceived,
  kCallsAnswered,
  kCallsMoved,
  kCallsRetried,
  kRetriesDenied,
  kCallersGone,
  kCallersClosedForMemory,
  kCallsCancelled,
  kRequestsPipelined,
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
  kSourceWordsUnknown,
  kSourceValuesLimited,
  kSourceRestores,
  kDataCentresEvacuated,
  kDataCentresReturned,
  kControlBytesSent,
  kControlBytesReceived,
  kControlMessagesSent,
  kControlMessagesReceived,
  kControlMessagesRefused,
  kDocumentsFetched,
  kDocumentFetchFailures,
  kDocumentBytesSent,
  kColdPeriods,
  kUpstreamFieldsRefused,
  kCount,  ///< Number of counters; not a counter.
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(Counter::kCount);

/// Name of a counter, such as `calls_received`.
std::string_view NameOf(Counter counter);

/// Durations with a histogram.
enum class Latency : std::uint8_t {
  kCall,      ///< Entry: whole request read to reply passed to the socket.
  kAdded,     ///< Entry: added by the nodes, which is `kCall` less the time at
              ///< the upstream as the exit measured it.
  kQueue,     ///< Exit: offer received to run started.
  kUpstream,  ///< Exit: run started to whole reply received.
  kCount,     ///< Number of histograms; not a duration.
};

inline constexpr std::size_t kLatencyCount =
    static_cast<std::size_t>(Latency::kCount);

/// Name of a histogram, such as `call`.
std::string_view NameOf(Latency latency);

/// Histogram with logarithmic buckets from 10 microseconds to 100 seconds, 20
/// per decade, so that a quantile is at most about 12 % too high. Durations
/// outside this range are counted in an underflow and an overflow bucket. All
/// methods are thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Counts one duration. Lock-free.
  void Record(std::chrono::nanoseconds duration);

  /// Upper edge, in seconds, of the bucket that holds quantile `q`, from 0 to
  /// 1; infinity if that is the overflow bucket, 0 if nothing was recorded.
  double Quantile(double q) const;

  /// Number of durations recorded.
  std::uint64_t count() const;

  /// Sum of the durations recorded, in seconds.
  double sum_seconds() const;

  /// Calls `visit(upper_edge_seconds, cumulative_count)` for each bucket that
  /// is not empty, in ascending order.
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
  /// Adds `amount` to a counter.
  void Add(Counter counter, std::uint64_t amount = 1) {
    m_counters[static_cast<std::size_t>(counter)].fetch_add(
        amount, std::memory_order_relaxed);
  }
  std::uint64_t Get(Counter counter) const {
    return m_counters[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }
  /// Counts one refusal.
  void AddRefusal(RefusalReason reason) {
    m_refusals[static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
  }
  /// Number of refusals with this reason.
  std::uint64_t GetRefusals(RefusalReason reason) const {
    return m_refusals[static_cast<std::size_t>(reason)].load(
        std::memory_order_relaxed);
  }
  /// Records a duration in the histogram `latency`.
  void Record(Latency latency, std::chrono::nanoseconds duration) {
    m_latencies[static_cast<std::size_t>(latency)].Record(duration);
  }
  const LatencyHistogram& Get(Latency latency) const {
    return m_latencies[static_cast<std::size_t>(latency)];
  }

  /// All values as JSON, for the dump; quantiles and sums in seconds.
  JsonValue ToJson() const;

  /// All values in the Prometheus text exposition format.
  std::string ToText() const;

 private:
  std::array<std::atomic<std::uint64_t>, kCounterCount> m_counters{};
  std::array<std::atomic<std::uint64_t>, kRefusalReasonCount> m_refusals{};
  std::array<LatencyHistogram, kLatencyCount> m_latencies;
};

}  // namespace yuccamast
