#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "link/messages.h"

/// \file fields.h
/// HTTP header fields: which travel on, and the project's own names.

namespace yuccamast {

/// Names of the project's own fields.
inline constexpr std::string_view kCallIdField = "Yuccamast-Call-Id";
inline constexpr std::string_view kOutcomeField = "Yuccamast-Outcome";
inline constexpr std::string_view kReasonField = "Yuccamast-Reason";
inline constexpr std::string_view kDeadlineField = "Yuccamast-Deadline-Ms";
inline constexpr std::string_view kDepthField = "Yuccamast-Depth";
inline constexpr std::string_view kRetryField = "Yuccamast-Retry";
inline constexpr std::string_view kShedField = "Yuccamast-Upstream-Shed";
inline constexpr std::string_view kLeavingField = "Yuccamast-Upstream-Leaving";

/// ASCII comparison without regard to case.
bool EqualIgnoreCase(std::string_view a, std::string_view b);

/// The value of the first field with the name, or null.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Replaces every field with the name by one with the value.
void SetField(std::vector<HttpField>& fields,
              std::string_view name,
              std::string value);

/// The fields that travel on to the next hop: without those of one connection
/// (RFC 9110, section 7.6.1), those that frame the body, and the project's.
std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields);

/// A whole number of 0 to 18 digits only, or nothing.
std::optional<std::int64_t> ParseCount(std::string_view text);

}  // namespace yuccamast
