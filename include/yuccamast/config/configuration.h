#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/result.h"

/// \file configuration.h
/// The configuration that operators publish: services, upstreams and rules.
///
/// It is a folder of JSON files that are merged in the order of their names.
/// A later file adds entries, overrides fields of entries, or removes an entry
/// by `null`. The merged whole is checked at once; `MergeConfiguration` either
/// returns a configuration in which every name resolves and every request has
/// at most one rule, or every error it found. A node never puts a part of a
/// configuration in force.

namespace yuccamast {

/// How an entry chooses among the upstreams of a service.
enum class PolicyKind : std::uint8_t {
  kLeastCost,         ///< Two random candidates, the lower estimated cost.
  kRandom,            ///< Baseline: uniform.
  kRoundRobin,        ///< Baseline: in turn at this entry.
  kLeastOutstanding,  ///< Baseline: fewest calls of this entry in flight.
  kRandomTwo,         ///< Baseline: two random, lower reported load.
};

std::string_view NameOf(PolicyKind kind);
std::optional<PolicyKind> PolicyFromName(std::string_view name);

/// Expected length of the calls under a rule.
enum class WeightClass : std::uint8_t {
  kShort,
  kLong,  ///< May not take the slots that are kept for short calls.
};

std::string_view NameOf(WeightClass weight);
std::optional<WeightClass> WeightFromName(std::string_view name);

/// A named group of upstreams that can answer the same requests.
struct Service {
  std::string name;
  PolicyKind policy = PolicyKind::kLeastCost;
  std::chrono::milliseconds queue_limit{100};  ///< Oldest wait at an exit.
  std::uint32_t queue_length = 20;             ///< Calls waiting at an exit.
  double retry_share = 0.1;  ///< Retries allowed for each first attempt.
  std::string health_path;   ///< What an exit asks its upstream; may be empty.
  /// Connections that an upstream takes from all exits; 0: not limited here.
  std::uint32_t max_connections = 0;
};

/// One upstream: a server program on a VM.
struct Upstream {
  std::string name;
  std::string service;
  std::string vm;
  std::uint32_t slots = 10;       ///< Calls it runs at the same time.
  std::uint32_t short_slots = 3;  ///< Of these, slots long calls may not take.
};

/// One of the services that a rule divides its requests among.
struct SplitPart {
  std::string service;
  std::uint32_t weight = 0;  ///< Share of the requests, relative to the others.
};

/// Which requests go to which service, and what may be done with them.
///
/// A rule has either a `path` pattern or a literal `prefix`. A prefix rule
/// belongs to one host; of the prefixes of a host that begin the path, the
/// longest decides, and the path is compared byte by byte.
struct Rule {
  std::string name;
  std::string service;  ///< Empty if `split` names the services.
  std::string method;   ///< An HTTP method, or `*` for any.
  std::string path;     ///< Literal segments, `*` for one, `**` for the rest.
  std::string host;     ///< Lower case, without port; only with `prefix`.
  std::string prefix;   ///< Begins and ends with a slash; empty: use `path`.
  std::vector<SplitPart> split;
  bool idempotent = false;
  std::chrono::milliseconds deadline{2000};
  /// Time within which an answer is worth most; zero: the deadline decides.
  std::chrono::milliseconds objective{0};
  WeightClass weight = WeightClass::kShort;
  std::int64_t priority = 0;  ///< The higher one wins before any other rank.
  std::uint32_t urgency = 0;  ///< Rank when room is short; 0 is served first.
  /// Upstreams that one call may be sent to, the first included.
  std::uint32_t max_upstreams = 4;
};

/// Bounds on callers that a configuration may set for all nodes; a field that
/// is not set leaves the node's own setting in force.
struct CallerBounds {
  std::optional<std::size_t> max_head_bytes;
  std::optional<std::size_t> max_body_bytes;
  std::optional<std::chrono::milliseconds> head_timeout;
  std::optional<std::chrono::milliseconds> idle_timeout;
};

/// Calls a rule by the parts of its path; see `RuleTable`.
class RuleTable;

/// An accepted configuration. Immutable, so it may be read by many threads.
struct Configuration {
  std::uint64_t revision = 0;  ///< The publisher's revision.
  std::string digest;          ///< Of the files' names and texts.
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, Upstream, std::less<>> upstreams;
  std::map<std::string, Rule, std::less<>> rules;
  CallerBounds callers;
  std::shared_ptr<const RuleTable> table;
};

/// One file of the folder.
struct ConfigFile {
  std::string name;
  std::string text;
};

/// What is wrong with a configuration.
enum class ConfigFault : std::uint8_t {
  kUnreadable,
  kBadJson,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kMissing,
  kUnknownName,
  kDanglingService,
  kRemovesNothing,
  kBadPath,
  kOverlap,
  kDuplicateVm,
  kEmpty,
  kBadPrefix,
};

std::string_view NameOf(ConfigFault fault);

/// One error, with the file and the key that an operator has to mend.
struct ConfigError {
  std::string file;
  std::string key;
  ConfigFault fault = ConfigFault::kBadJson;
  std::string detail;
};

using ConfigErrors = std::vector<ConfigError>;

/// Merges and checks `files`, which are sorted by name first. Pure and
/// thread-safe. On failure every error that could be found is returned.
Result<Configuration, ConfigErrors> MergeConfiguration(
    std::vector<ConfigFile> files,
    std::uint64_t revision);

/// Reads the `*.json` files of a folder. Fails if it cannot be read.
Result<std::vector<ConfigFile>, ConfigErrors> ReadConfigFolder(
    const std::string& folder);

/// Digest of the names and texts of `files`, sorted by name.
std::string DigestOf(const std::vector<ConfigFile>& files);

/// The rule whose `path` governs a request, or null. `path` has no query part
/// and must have passed `IsUnambiguousPath`. Thread-safe.
const Rule* FindRule(const Configuration& configuration,
                     std::string_view method,
                     std::string_view path);

/// The rule with the longest `prefix` of the host that begins `path`, or null.
/// `host` is the caller's Host field, in any case and with or without a port;
/// `path` has no query part. Thread-safe.
const Rule* FindPrefixRule(const Configuration& configuration,
                           std::string_view host,
                           std::string_view path);

/// Whether a path means the same to every server: it starts with a slash and
/// has no empty, `.` or `..` segment, backslash, encoded slash or encoded dot.
bool IsUnambiguousPath(std::string_view path);

}  // namespace yuccamast
