#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// \file load.h
/// The load driver: an open-loop HTTP load generator that verifies the replies.
///
/// Requests are sent at times drawn from a Poisson process, whatever became of
/// earlier ones, and latency counts from the intended time of sending. Thus a
/// slow server doesn't slow the load down, and its delays are measured in full
/// (no coordinated omission).
///
/// The body of each reply that counts as `kAnswered` must begin with `id=ID `,
/// ID being that of its request, and end with `END`, as `yuccamast-standin
/// upstream` writes it. After the run, the outcomes that the caller saw are
/// compared with the ledgers of the upstreams, which count how often each
/// request ran.

namespace yuccamast::bench {

/// One kind of request in the mix.
struct RequestKind {
  std::string name;  ///< For reports.
  std::string method = "GET";
  std::string target = "/";
  double weight = 1;       ///< Share of this kind: weight over sum of weights.
  bool idempotent = true;  ///< May run more than once.
  std::size_t body_bytes = 0;  ///< Size of the body of the request.
};

/// Parameters of a run. `entries` and `mix` must not be empty.
struct LoadPlan {
  std::vector<std::uint16_t> entries;  ///< Ports on loopback, used in turn.
  double rate = 100;                   ///< Requests per second, on average.
  double seconds = 5;                  ///< Duration of the sending.
  std::uint64_t seed = 1;  ///< Of the random numbers; part of each id.
  std::vector<RequestKind> mix;
  /// Connections that are opened before the first request and kept open without
  /// one during the run. Those that cannot be made are left out.
  std::size_t idle_connections = 0;
  /// Rate by the time since the start in seconds; overrides `rate` if set.
  std::function<double(double)> rate_at;
  /// Timeout for connecting (outcome `kNotRun`), and then for sending the
  /// request and reading the reply together (outcome `kCut`).
  std::chrono::milliseconds caller_timeout{15'000};
};

/// What a caller knows about its request at its end.
enum class Outcome : std::uint8_t {
  kAnswered,     ///< A complete reply by the upstream, status below 500.
  kServerError,  ///< The same, status 500 or above.
  kNotRun,       ///< Refused as not run, or no connection was made.
  kUnknown,      ///< Refused; may have run.
  kCut,  ///< The connection ended, or time ran out, without a complete reply.
};

inline constexpr std::size_t kOutcomeCount = 5;

/// Name as in the report, such as `not_run`.
std::string_view NameOf(Outcome outcome);

/// Result of one request.
struct RequestRecord {
  std::string id;         ///< Its `X-Load-Id`: `load-SEED-INDEX`.
  std::size_t kind = 0;   ///< Index in `LoadPlan::mix`.
  double intended_s = 0;  ///< Intended time of sending, since the start.
  double latency_ms = 0;  ///< From the intended time to the end.
  Outcome outcome = Outcome::kCut;
  /// `Yuccamast-Reason` of a refusal, `no_connection`, or the error message of
  /// reading the reply; otherwise empty.
  std::string reason;
  bool wrong = false;  ///< The reply is another request's, or incomplete.
};

/// Runs the plan and returns a record for each request, in the order of
/// sending. Blocks until the last request has ended. Uses one thread, the
/// calling one.
std::vector<RequestRecord> RunLoad(const LoadPlan& plan);

/// Returns the quantile `q` (0 to 1) of `values`, or 0 if there are none: of
/// the n sorted values the one at index q * (n - 1), rounded. Sorts `values`.
double Quantile(std::vector<double>& values, double q);

/// Returns how often each id ran, summed over the ledgers of the upstreams on
/// these loopback ports. The ledger of an upstream that cannot be read counts
/// as empty. Blocks without a timeout.
std::map<std::string, unsigned> ReadLedgers(
    const std::vector<std::uint16_t>& ports);

/// Numbers of requests that violate a guarantee; all 0 after a correct run.
struct LedgerCheck {
  std::size_t wrong = 0;          ///< Reply of another request, or incomplete.
  std::size_t double_runs = 0;    ///< Not idempotent, but ran more than once.
  std::size_t false_not_run = 0;  ///< Outcome `kNotRun`, but it ran.
  std::size_t missing_runs = 0;   ///< Outcome `kAnswered`, but it never ran.
};

/// Compares the records of a run with the ledgers. `plan` is that of the run.
LedgerCheck CheckAgainstLedgers(const LoadPlan& plan,
                                const std::vector<RequestRecord>& records,
                                const std::map<std::string, unsigned>& ledger);

}  // namespace yuccamast::bench
