#include "yuccamast/config/config_selector.h"

namespace yuccamast {

std::string_view NameOf(ConfigVerdict verdict) {
  switch (verdict) {
    case ConfigVerdict::kAccepted:
      return "accepted";
    case ConfigVerdict::kSame:
      return "same";
    case ConfigVerdict::kOlder:
      return "older";
    case ConfigVerdict::kRefused:
      break;
  }
  return "refused";
}

ConfigVersion ConfigSelector::version() const {
  if (m_in_force == nullptr) {
    return {};
  }
  return {m_in_force->revision, m_in_force->digest};
}

ConfigVerdict ConfigSelector::Submit(const std::vector<ConfigFile>& files,
                                     std::uint64_t revision) {
  const ConfigVersion offered{revision, DigestOf(files)};
  const ConfigVersion current = version();
  if (m_in_force != nullptr && offered == current) {
    return ConfigVerdict::kSame;
  }
  if (m_in_force != nullptr && offered.revision == current.revision) {
    m_conflict_seen = true;
  }
  if (m_in_force != nullptr && offered < current) {
    return ConfigVerdict::kOlder;
  }
  if (offered == m_refused_version) {
    return ConfigVerdict::kRefused;
  }
  auto merged = MergeConfiguration(files, revision);
  if (!merged) {
    m_refused_version = offered;
    m_refused_errors = std::move(merged.error());
    return ConfigVerdict::kRefused;
  }
  m_in_force = std::make_shared<const Configuration>(std::move(merged.value()));
  m_files = files;
  return ConfigVerdict::kAccepted;
}

}  // namespace yuccamast
