#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccamast/config/configuration.h"

/// \file config_selector.h
/// Decides which published configuration is in force at a node.
///
/// The order is by the publisher's revision, then by digest: if two contents
/// are ever published under one revision, every node settles on the same one.
/// What is in force never moves backwards in that order, whatever a stale or
/// restored service says. A configuration that does not pass the checks is
/// refused whole, its errors are kept for operators, and the one in force
/// stays.

namespace yuccamast {

/// What became of an offered configuration.
enum class ConfigVerdict : std::uint8_t {
  kAccepted,  ///< It is in force now.
  kSame,      ///< It was in force already.
  kOlder,     ///< It is behind the one in force.
  kRefused,   ///< It has errors.
};

std::string_view NameOf(ConfigVerdict verdict);

/// Place of a configuration in the order.
struct ConfigVersion {
  std::uint64_t revision = 0;
  std::string digest;
  auto operator<=>(const ConfigVersion&) const = default;
};

/// Not thread-safe.
class ConfigSelector {
 public:
  /// Takes files as published under `revision`.
  ConfigVerdict Submit(const std::vector<ConfigFile>& files,
                       std::uint64_t revision);

  /// The configuration in force, or null before the first.
  std::shared_ptr<const Configuration> in_force() const { return m_in_force; }

  /// The files of the configuration in force, to pass on to peers.
  const std::vector<ConfigFile>& files() const { return m_files; }

  ConfigVersion version() const;

  /// Version and errors of the newest configuration that was refused.
  const ConfigVersion& refused_version() const { return m_refused; }
  const ConfigErrors& refused_errors() const { return m_errors; }

  /// Whether two contents were seen under one revision.
  bool conflict_seen() const { return m_conflict; }

 private:
  std::shared_ptr<const Configuration> m_in_force;
  std::vector<ConfigFile> m_files;
  ConfigVersion m_refused;
  ConfigErrors m_errors;
  bool m_conflict = false;
};

}  // namespace yuccamast
