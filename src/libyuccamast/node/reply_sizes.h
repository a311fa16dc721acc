#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

/// \file reply_sizes.h
/// Expects the size of an upstream's next reply, so that a run is started only
/// if there is memory for what it will bring.
///
/// For each rule the estimate is a decaying maximum: it rises to a larger reply
/// at once, and each smaller one lowers it by a tenth of the difference. O(log
/// n) in the number of rules. Not thread-safe.

namespace yuccamast {

class ReplySizes {
 public:
  /// A reply to a call of the rule had `bytes`.
  void AddSample(const std::string& rule, std::size_t bytes) {
    std::size_t& size = m_sizes[rule];
    size = std::max(bytes, size - (size - std::min(bytes, size)) / 10);
  }

  /// The expected size in bytes; 0 for a rule without a sample.
  std::size_t Of(const std::string& rule) const {
    const auto found = m_sizes.find(rule);
    return found == m_sizes.end() ? 0 : found->second;
  }

 private:
  std::map<std::string, std::size_t> m_sizes;
};

}  // namespace yuccamast
