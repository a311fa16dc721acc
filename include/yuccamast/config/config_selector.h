#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccamast/config/configuration.h"

/// \file config_selector.h
/// Selects the published configuration that is in force at a node.
///
/// Input: the files of a configuration with the publisher's revision, read
/// from the configuration service or fetched from a peer, in any order and any
/// number of times. Output: the configuration in force, its files, and the
/// errors of the last configuration that was refused.
///
/// Configurations are ordered by revision, then by digest. Only a greater one
/// that passes all checks replaces the one in force, so a service that serves
/// stale data or was restored from a backup cannot roll a node back. If two
/// contents are published under one revision, the order by digest makes every
/// node converge on the same one, whatever the order of arrival.
///
/// A configuration that fails a check is refused as a whole: the one in force
/// stays, and the errors are kept for operators.

namespace yuccamast {

/// Result of submitting a configuration.
enum class ConfigVerdict : std::uint8_t {
  kAccepted,  ///< It is now in force.
  kSame,      ///< It was already in force.
  kOlder,     ///< It is lower in the order than the one in force.
  kRefused,   ///< It has errors; see `ConfigSelector::refused_errors`.
};

/// Name of a verdict in lower case, such as `accepted`.
std::string_view NameOf(ConfigVerdict verdict);

/// Position of a configuration in the order: by revision, then by digest.
struct ConfigVersion {
  std::uint64_t revision = 0;
  std::string digest;
  auto operator<=>(const ConfigVersion&) const = default;
};

/// Not thread-safe. The configurations that it returns are immutable and may
/// be shared with other threads.
class ConfigSelector {
 public:
  /// Puts `files`, published under `revision`, in force if their version is
  /// greater than the one in force and they pass all checks. The last refused
  /// version is remembered and is not checked again when it is submitted again.
  ConfigVerdict Submit(const std::vector<ConfigFile>& files,
                       std::uint64_t revision);

  /// The configuration in force; null until the first one is accepted.
  std::shared_ptr<const Configuration> in_force() const { return m_in_force; }

  /// The files of the configuration in force, for peers that ask for them.
  const std::vector<ConfigFile>& files() const { return m_files; }

  /// Version of the configuration in force; revision 0 and an empty digest
  /// until the first one is accepted.
  ConfigVersion version() const;

  /// Version and errors of the last configuration that was refused; empty if
  /// there was none. They are kept when a later one is accepted.
  const ConfigVersion& refused_version() const { return m_refused_version; }
  const ConfigErrors& refused_errors() const { return m_refused_errors; }

  /// Whether a configuration with the revision in force but other contents was
  /// ever submitted, that is, the publisher reused a revision.
  bool conflict_seen() const { return m_conflict_seen; }

 private:
  std::shared_ptr<const Configuration> m_in_force;
  std::vector<ConfigFile> m_files;
  ConfigVersion m_refused_version;
  ConfigErrors m_refused_errors;
  bool m_conflict_seen = false;
};

}  // namespace yuccamast
