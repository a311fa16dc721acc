#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http/caller_connection.h"
#include "http/dialect.h"
#include "http/upstream_pool.h"
#include "json/object_reader.h"
#include "link/session.h"
#include "log/log.h"
#include "yuccamast/membership/membership.h"
#include "yuccamast/result.h"

/// \file settings.h
/// The settings file of one node.
///
/// The file is one JSON object (comments are allowed). `ParseSettings` checks
/// types, ranges and unknown keys, and reports all errors at once; absent keys
/// take the defaults given here. docs/OPERATIONS.md describes every key.

namespace yuccamast {

/// Address of one of the platform's services.
struct PlatformAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// Phases of the planned stop (node.h). `admit` and `announce` both count from
/// its start.
struct StopLimits {
  /// For this time the exit still admits calls whose deadline is before
  /// `announce` and `drain` are over; afterwards it admits none, and peers are
  /// told that the node is leaving. A value above `announce` counts as
  /// `announce`.
  Duration admit{};
  /// For this time entries still accept all calls. Afterwards they accept those
  /// whose deadline is before `drain` is over, and new connections as long as
  /// calls run beside the node.
  Duration announce = std::chrono::milliseconds(2000);
  /// Maximum time after `announce` for calls and connections to end.
  Duration drain = std::chrono::seconds(30);
};

/// Round trips assumed for a VM by its location.
struct DistanceTable {
  Duration same_data_centre = std::chrono::microseconds(300);
  Duration same_region = std::chrono::milliseconds(3);
  Duration other_region = std::chrono::milliseconds(60);
};

/// Bound on retries of all nodes together. The part of each node is `slack`
/// divided by the number of VMs on its list, but at least 1.
struct SharedRetryLimit {
  double slack = 0;  ///< Retries allowed at any time; 0: no shared bound.
  double share = 0;  ///< Further retries for each first attempt.

  bool operator==(const SharedRetryLimit&) const = default;
};

/// How far the starts at a cold upstream may exceed the rate that its service
/// names, in any second.
struct ColdTolerance {
  double share = 0;  ///< Of that rate.
  double slack = 0;  ///< Further starts.

  /// The starts allowed in a second for a rate; 0 (no limit) for 0.
  double LimitFor(double per_second) const {
    return per_second > 0 ? per_second * (1 + share) + slack : 0;
  }
};

struct NodeSettings {
  std::string vm;  ///< Id of the VM.
  std::string ip;
  std::string data_centre;
  std::string region;
  std::uint16_t caller_port = 0;
  std::uint16_t inner_port = 0;       ///< For other nodes.
  std::uint16_t advertised_port = 0;  ///< Inner port as peers reach it.
  std::uint16_t control_port = 0;
  std::uint16_t ready_port = 0;  ///< Answers `ready_path`; 0: not served.
  std::string ready_path;
  /// Service of the VM; sent to upstreams in `Dialect::caller_service_field`.
  std::string service;
  std::string upstream;  ///< Name in the configuration; empty if none.
  /// Whether the platform lists upstreams itself: the one beside this node is
  /// then the one listed at its address, whatever its name.
  bool upstreams_listed = false;
  std::string upstream_ip;
  std::uint16_t upstream_port = 0;
  /// Of the upstream; empty: the path that the configuration gives for its
  /// service.
  std::string health_path;
  std::string shared_key;  ///< Authenticates control messages; empty: off.
  PlatformAddress config_service;
  PlatformAddress vm_list;  ///< Of the service that returns the VM list.
  std::uint32_t entry_threads = 2;
  std::uint32_t max_depth = 16;  ///< Of nested calls.
  /// For bodies of messages, see `MemoryBudget`. If the file has `memory_mb`,
  /// the memory of the machine, at most `BudgetOfMachine` of it.
  std::size_t memory_bytes = 64U << 20U;
  LogLevel log_level = LogLevel::kInfo;
  CallerLimits caller;
  UpstreamLimits upstream_limits;
  LinkOptions link;
  StopLimits stop;
  DistanceTable distance;
  /// Whether entries query exits for their load before a choice. All nodes of
  /// a fleet then answer on UDP port `inner_port` + `kLoadPortOffset`.
  bool asks_load = false;
  MembershipOptions membership;
  SharedRetryLimit retry_limit;
  ColdTolerance cold_tolerance;
  /// Share of an upstream's slots that the exit uses, in 0.1..1; upstreams slow
  /// down when they are nearly full.
  double slot_share = 1.0;
  /// Settings of a platform's adapter, not checked here.
  JsonValue adapter;
  /// HTTP conventions of callers and upstreams; not in the file. Never null.
  const Dialect* dialect = &DefaultDialect();
};

/// Why settings are refused: `detail` is a JSON error, or "fields" if `fields`
/// lists the faulty ones.
struct SettingsError {
  std::string detail;
  std::vector<FieldError> fields;
};

/// The memory budget in bytes of a process that may take `memory_mb` MB in all:
/// what is left beside a fixed part of 80 MiB, but at least a quarter. The
/// fixed part is for code, connections and their buffers, links, the lists of a
/// large fleet, and one message in work on each thread. Thread-safe.
std::size_t BudgetOfMachine(std::size_t memory_mb);

/// Parses and checks the text of a settings file. Returns every error that was
/// found. Thread-safe.
Result<NodeSettings, SettingsError> ParseSettings(std::string_view text);

}  // namespace yuccamast
