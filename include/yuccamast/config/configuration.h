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
};

/// One upstream: a server program on a VM.
struct Upstream {
  std::string name;
  std::string service;
  std::string vm;
  std::uint32_t slots = 10;       ///< Calls it runs at the same time.
  std::uint32_t short_slots = 3;  ///< Of these, slots long calls may not take.
};

/// Which requests go to which service, and what may be done with them.
struct Rule {
  std::string name;
  std::string service;
  std::string method;  ///< An HTTP method, or `*` for any.
  std::string path;    ///< Literal segments, `*` for one, `**` for the rest.
  bool idempotent = false;
  std::chrono::milliseconds deadline{2000};
  WeightClass weight = WeightClass::kShort;
  std::int64_t priority = 0;  ///< The higher one wins before any other rank.
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

/// The rule that governs a request, or null. `path` has no query part and must
/// have passed `CheckPath`. Thread-safe.
const Rule* FindRule(const Configuration& configuration,
                     std::string_view method,
                     std::string_view path);

/// Whether a path means the same to every server: it starts with a slash and
/// has no empty, `.` or `..` segment, backslash, encoded slash or encoded dot.
bool CheckPath(std::string_view path);

}  // namespace yuccamast
