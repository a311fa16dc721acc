#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "link/messages.h"

/// \file fields.h
/// Functions on HTTP header fields, and the names of the project's own fields.
///
/// Field names are compared case-insensitively (ASCII). All functions are
/// linear in the number of fields except `EndToEndFields`, which is quadratic,
/// and all may be called from any thread on separate arguments.

namespace yuccamast {

/// Names of the project's own fields; see docs/REFERENCE.md.
inline constexpr std::string_view kCallIdField = "Yuccamast-Call-Id";
inline constexpr std::string_view kOutcomeField = "Yuccamast-Outcome";
inline constexpr std::string_view kReasonField = "Yuccamast-Reason";
inline constexpr std::string_view kDeadlineField = "Yuccamast-Deadline-Ms";
inline constexpr std::string_view kDepthField = "Yuccamast-Depth";
inline constexpr std::string_view kRetryField = "Yuccamast-Retry";
inline constexpr std::string_view kShedField = "Yuccamast-Upstream-Shed";
inline constexpr std::string_view kLeavingField = "Yuccamast-Upstream-Leaving";
inline constexpr std::string_view kRateLimitField =
    "Yuccamast-Upstream-Rate-Limit";
inline constexpr std::string_view kColdTimeField = "Yuccamast-Upstream-Cold-Ms";

/// Case-insensitive ASCII comparison.
bool EqualIgnoreCase(std::string_view a, std::string_view b);

/// The value of the first field with the name, or null. The pointer is valid
/// until `fields` changes.
const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name);

/// Replaces all fields with the name by one with the value, at the end.
void SetField(std::vector<HttpField>& fields,
              std::string_view name,
              std::string value);

/// The end-to-end fields: a copy without the hop-by-hop fields (RFC 9110,
/// section 7.6.1, including those listed in `Connection`), the fields that
/// frame the body, `Expect`, and the project's own fields other than
/// kLeavingField.
std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields);

/// Copies the fields of a Beast message, or of another range whose elements
/// have `name_string()` and `value()`. To be called when the head was read: the
/// parser adds the fields of a chunked body's trailer section to the same
/// message, but a trailer field must not be taken for a header field (RFC 9110,
/// section 6.5.1).
template <typename Fields>
std::vector<HttpField> CopyFields(const Fields& fields) {
  std::vector<HttpField> copy;
  std::ranges::transform(fields, std::back_inserter(copy),
                         [](const auto& field) {
                           return HttpField{std::string(field.name_string()),
                                            std::string(field.value())};
                         });
  return copy;
}

/// Parses a decimal integer of 1 to 18 ASCII digits without sign or space, or
/// returns nothing. 18 digits always fit.
std::optional<std::int64_t> ParseCount(std::string_view text);

/// Parses a decimal number, such as `2` or `0.5`, that is finite and not
/// negative, or returns nothing.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace yuccamast
