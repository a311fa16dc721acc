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
/// Input: the `*.json` files of a folder. Each file is an object with the
/// sections `services`, `upstreams`, `rules` and `bounds`; a section maps the
/// names of entries to their fields. The files are merged in the order of
/// their names: a later file adds entries or overrides single fields; `null`
/// resets a field to its default or removes an entry.
///
/// Output: an immutable `Configuration`. `MergeConfiguration` checks the merged
/// whole. It returns either a configuration in which every reference resolves
/// and at most one rule applies to a request, or every error that it found. A
/// node never uses part of a configuration.
///
/// `FindPrefixRule` and `FindRule` map a request to its rule; an entry tries
/// them in this order. See config/rule_table.h for the precedence of rules.

namespace yuccamast {

/// How an entry chooses among the upstreams of a service.
enum class PolicyKind : std::uint8_t {
  /// Lowest estimated cost of a few candidates, see balance/policy.h (power of
  /// d choices).
  kLeastCost,
  kRandom,            ///< For comparison: uniformly random.
  kRoundRobin,        ///< For comparison: round robin in each entry thread.
  kLeastOutstanding,  ///< For comparison: fewest calls of this entry in flight.
  /// For comparison: of two random candidates, the one with the lower reported
  /// load.
  kRandomTwo,
};

/// Name of a policy in configuration files, such as `least_cost`.
std::string_view NameOf(PolicyKind kind);

/// The policy with this name, or nothing if there is none.
std::optional<PolicyKind> PolicyFromName(std::string_view name);

/// Expected duration of the calls under a rule.
enum class WeightClass : std::uint8_t {
  kShort,
  kLong,  ///< May not use the slots that are reserved for short calls.
};

/// Name of a class in configuration files: `short` or `long`.
std::string_view NameOf(WeightClass weight);

/// The class with this name, or nothing if there is none.
std::optional<WeightClass> WeightFromName(std::string_view name);

/// A named group of upstreams that can answer the same requests.
struct Service {
  std::string name;
  PolicyKind policy = PolicyKind::kLeastCost;
  /// Longest time that a call waits in the queue of an exit if it is expected
  /// to miss its objective or has none.
  std::chrono::milliseconds queue_limit{100};
  std::uint32_t queue_length = 20;  ///< Most calls in the queue of an exit.
  double retry_share = 0.1;  ///< Retry budget: retries per first attempt.
  /// Path of the health page that an exit requests from its upstream, unless
  /// the settings of its node name one; empty: no health requests.
  std::string health_path;
  /// Connections that an upstream accepts from all exits together; 0: not
  /// given. Only its range is checked, and it is printed; nodes do not enforce
  /// it.
  std::uint32_t max_connections = 0;
  /// Calls per second that a cold upstream can bear; 0: no limit. See
  /// admission/cold_start_limiter.h.
  double cold_starts_per_s = 0;
  /// Time for which an upstream stays cold after its start; 0: not given.
  std::chrono::milliseconds cold_start{0};
};

/// One upstream: a server program on a VM.
struct Upstream {
  std::string name;
  std::string service;
  std::string vm;
  std::uint32_t slots = 10;       ///< Calls that it runs concurrently.
  std::uint32_t short_slots = 3;  ///< Of these, reserved for short calls.
};

/// One of the services among which a rule splits its requests.
struct SplitPart {
  std::string service;
  std::uint32_t weight = 0;  ///< Share of requests, relative to other parts.
};

/// Which requests go to which service, and how they may be handled.
///
/// A rule has either a `path` pattern or a literal `prefix`. A prefix rule
/// applies to one host; of the host's prefixes that the path starts with, the
/// longest decides, and the path is compared byte by byte.
struct Rule {
  std::string name;
  std::string service;  ///< Not used if `split` names the services.
  std::string method;   ///< An HTTP method, or `*` for any.
  /// Pattern of literal segments; `*` matches one segment, a final `**` matches
  /// all that follow.
  std::string path;
  std::string host;    ///< Lower case, without port; only with `prefix`.
  std::string prefix;  ///< Begins and ends with a slash; empty: use `path`.
  std::vector<SplitPart> split;  ///< Empty: all requests go to `service`.
  bool idempotent = false;
  std::chrono::milliseconds deadline{2000};
  /// Time within which a reply has its full value (a soft deadline); 0: only
  /// the deadline applies.
  std::chrono::milliseconds objective{0};
  WeightClass weight = WeightClass::kShort;
  /// The rule with the higher value wins before all other criteria of
  /// precedence.
  std::int64_t priority = 0;
  /// Order in which calls are served under overload; 0 is served first.
  std::uint32_t urgency = 0;
  /// Most upstreams that one call may reach, including the first. Offers that
  /// fail or are refused before they reach the upstream don't count.
  std::uint32_t max_upstreams = 4;
};

/// Limits on callers that a configuration may set for all nodes (section
/// `bounds`). Where a field is not set, the node's own setting applies.
struct CallerBounds {
  std::optional<std::size_t> max_head_bytes;
  std::optional<std::size_t> max_body_bytes;
  std::optional<std::chrono::milliseconds> head_timeout;
  std::optional<std::chrono::milliseconds> idle_timeout;
};

/// Index from requests to rules; declared in config/rule_table.h.
class RuleTable;

/// An accepted configuration. Immutable, so threads may read it concurrently.
struct Configuration {
  std::uint64_t revision = 0;  ///< As assigned by the publisher.
  std::string digest;          ///< See `DigestOf`.
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, Upstream, std::less<>> upstreams;
  std::map<std::string, Rule, std::less<>> rules;
  CallerBounds callers;
  std::shared_ptr<const RuleTable> rule_table;
};

/// One file of the folder.
struct ConfigFile {
  std::string name;
  std::string text;
};

/// Kinds of errors in a configuration.
enum class ConfigFault : std::uint8_t {
  kUnreadable,       ///< A file or the folder cannot be read.
  kBadJson,          ///< A file is not valid JSON.
  kUnknownKey,       ///< A section or field with this name does not exist.
  kWrongType,        ///< A value has the wrong JSON type.
  kOutOfRange,       ///< A value is outside its allowed range.
  kMissing,          ///< A required field is missing.
  kUnknownName,      ///< A value is not one of the allowed names.
  kDanglingService,  ///< A referenced service is not defined.
  kRemovesNothing,   ///< `null` for an entry that no earlier file defines.
  kBadPath,          ///< A path pattern is malformed.
  kOverlap,          ///< Two rules of equal rank can match the same request.
  kDuplicateVm,      ///< Two upstreams are on the same VM.
  kEmpty,            ///< No service is defined.
  kBadPrefix,        ///< The fields of a prefix rule are malformed or conflict.
};

/// Name of a kind of error in reports, such as `bad_json`.
std::string_view NameOf(ConfigFault fault);

/// One error, with the file and the key that the operator has to correct.
struct ConfigError {
  std::string file;
  std::string key;  ///< Such as `rules.book.path`; empty: the whole file.
  ConfigFault fault = ConfigFault::kBadJson;
  std::string detail;  ///< The offending value or an explanation; may be empty.
};

using ConfigErrors = std::vector<ConfigError>;

/// Merges `files` in the order of their names and checks the result. On failure
/// all errors that could be found are returned. A pure function; thread-safe.
Result<Configuration, ConfigErrors> MergeConfiguration(
    std::vector<ConfigFile> files,
    std::uint64_t revision);

/// Reads the `*.json` files of a folder, sorted by name; subfolders are not
/// read. Fails with `kUnreadable` if the folder or a file cannot be read.
Result<std::vector<ConfigFile>, ConfigErrors> ReadConfigFolder(
    const std::string& folder);

/// 128-bit XXH3 hash of the names and texts of `files`, as 32 hexadecimal
/// digits. Independent of the order of `files`. Not cryptographic. Thread-safe.
std::string DigestOf(const std::vector<ConfigFile>& files);

/// The rule whose `path` pattern matches a request, or null. `path` has no
/// query part and must have passed `IsUnambiguousPath`. Thread-safe.
const Rule* FindRule(const Configuration& configuration,
                     std::string_view method,
                     std::string_view path);

/// The rule with the longest `prefix` of the host that `path` starts with, or
/// null. `host` is the value of the caller's Host field, in any case, with or
/// without a port; `path` has no query part. Thread-safe.
const Rule* FindPrefixRule(const Configuration& configuration,
                           std::string_view host,
                           std::string_view path);

/// Whether all servers interpret a path in the same way, so that a rule cannot
/// be bypassed by another spelling of a path. True for `/` and for a path that
/// begins but does not end with a slash and contains
/// - no empty, `.` or `..` segment,
/// - no semicolon, backslash, space, control character or byte beyond ASCII,
/// - no percent-encoded slash, backslash, dot or NUL.
/// Thread-safe.
bool IsUnambiguousPath(std::string_view path);

}  // namespace yuccamast
