#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// \file load.h
/// An open-loop load driver that checks what it is told.
///
/// Requests are sent at their intended times, whatever became of earlier ones,
/// and latency counts from the intended time. Every reply must carry the id of
/// its request and its end mark. Afterwards the claims are held against the
/// upstreams' ledgers.

namespace yuccamast::bench {

/// One kind of request in the mix.
struct RequestKind {
  std::string name;
  std::string method = "GET";
  std::string target = "/";
  double weight = 1;
  bool idempotent = true;
  std::size_t body_bytes = 0;
};

struct LoadPlan {
  std::vector<std::uint16_t> entries;  ///< Ports on loopback.
  double rate = 100;                   ///< Requests a second over all.
  double seconds = 5;
  std::uint64_t seed = 1;
  std::vector<RequestKind> mix;
  std::size_t idle_connections = 0;  ///< Kept open beside the load.
  /// Rate at a time since the start; overrides `rate` if set.
  std::function<double(double)> rate_at;
  std::chrono::milliseconds patience{15'000};
};

/// What a caller knows about its request.
enum class Outcome : std::uint8_t {
  kAnswered,
  kServerError,  ///< A whole reply with a 5xx status by the upstream.
  kNotRun,
  kUnknown,
  kCut,  ///< The connection ended without a whole reply.
};

inline constexpr std::size_t kOutcomeCount = 5;
std::string_view NameOf(Outcome outcome);

struct RequestRecord {
  std::string id;
  std::size_t kind = 0;
  double due_s = 0;  ///< Intended time since the start.
  double latency_ms = 0;
  Outcome outcome = Outcome::kCut;
  std::string reason;
  bool wrong = false;  ///< Another request's answer, or not whole.
};

/// Runs the plan and returns a record for each request.
std::vector<RequestRecord> RunLoad(const LoadPlan& plan);

/// Percentile `q` in 0..1 of `values`, which are sorted by the call.
double Percentile(std::vector<double>& values, double q);

/// Runs of each id, summed over the ledgers of the upstreams on these ports.
std::map<std::string, unsigned> ReadLedgers(
    const std::vector<std::uint16_t>& ports);

struct Verdict {
  std::size_t wrong = 0;          ///< Not its own or not whole.
  std::size_t double_runs = 0;    ///< Non-idempotent ids that ran twice.
  std::size_t false_not_run = 0;  ///< Told "not run", but it ran.
  std::size_t missing_runs = 0;   ///< Answered, but it never ran.
};

/// Holds the records against the ledgers.
Verdict Judge(const LoadPlan& plan,
              const std::vector<RequestRecord>& records,
              const std::map<std::string, unsigned>& ledger);

}  // namespace yuccamast::bench
