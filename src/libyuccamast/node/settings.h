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
/// The settings file of one node. docs/OPERATIONS.md describes every key.

namespace yuccamast {

/// An address of one of the platform's services.
struct PlatformAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// Bounds of a planned stop.
struct StopLimits {
  /// The exit still admits calls that end before the stop does; peers are told
  /// that the node leaves when this is over. At most `announce`.
  Duration admit{};
  Duration announce = std::chrono::milliseconds(2000);  ///< Still answering.
  Duration drain = std::chrono::seconds(30);  ///< For calls in flight.
};

/// Round trips assumed until a connection has measured its own.
struct DistanceTable {
  Duration same_data_centre = std::chrono::microseconds(300);
  Duration same_region = std::chrono::milliseconds(3);
  Duration other_region = std::chrono::milliseconds(60);
};

/// Bound on second sends that all nodes keep together. Each node takes its
/// part of `slack` by the number of nodes it knows.
struct SharedRetryLimit {
  double slack = 0;  ///< Second sends allowed at any time; 0: no such bound.
  double share = 0;  ///< Further ones for each first send.

  bool operator==(const SharedRetryLimit&) const = default;
};

struct NodeSettings {
  std::string vm;
  std::string ip;
  std::string data_centre;
  std::string region;
  std::uint16_t caller_port = 0;
  std::uint16_t inner_port = 0;
  std::uint16_t advertised_port = 0;  ///< Inner port as peers reach it.
  std::uint16_t control_port = 0;
  std::uint16_t ready_port = 0;  ///< Answers `ready_path`; 0: not served.
  std::string ready_path;
  std::string service;   ///< Of the VM; what its callers count as.
  std::string upstream;  ///< Name in the configuration; empty if none.
  /// Whether the platform lists upstreams itself: the one beside this node is
  /// then the one listed at its address, whatever its name.
  bool upstreams_listed = false;
  std::string upstream_ip;
  std::uint16_t upstream_port = 0;
  std::string health_path;  ///< Of the upstream; empty: it is not asked.
  std::string shared_key;   ///< Seals control messages; empty: no seal.
  PlatformAddress config_service;
  PlatformAddress vm_list;
  std::uint32_t entry_threads = 2;
  std::uint32_t max_depth = 16;
  std::size_t memory_bytes = 64U << 20U;
  LogLevel log_level = LogLevel::kInfo;
  CallerLimits caller;
  UpstreamLimits upstream_limits;
  LinkOptions link;
  StopLimits stop;
  DistanceTable distance;
  /// Whether exits are asked for their load before a choice; all nodes of a
  /// fleet then answer at the inner port and one.
  bool asks_load = false;
  MembershipOptions membership;
  SharedRetryLimit retry_limit;
  /// Share of an upstream's slots that the exit uses; servers slow down when
  /// they are nearly full.
  double slot_share = 1.0;
  /// Settings of a platform's adapter, as they stand in the file.
  JsonValue adapter;
  /// Not in the file: how callers and upstreams speak. Never null.
  const Dialect* dialect = &DefaultDialect();
};

/// Why settings are refused: a JSON error or a list of fields.
struct SettingsError {
  std::string detail;
  std::vector<FieldError> fields;
};

/// Parses and checks the text of a settings file. Thread-safe.
Result<NodeSettings, SettingsError> ParseSettings(std::string_view text);

}  // namespace yuccamast
