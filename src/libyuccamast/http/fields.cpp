#include "http/fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace yuccamast {

namespace {

/// Fields that `EndToEndFields` removes. Content-Length is set anew for the
/// next hop, and Expect has been answered by this node.
constexpr std::array<std::string_view, 18> kRemovedFields = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    kCallIdField,
    kOutcomeField,
    kReasonField,
    kDeadlineField,
    kDepthField,
    kRetryField,
    kShedField};

char ToLower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

/// Whether the comma-separated list of a Connection field contains `name`.
bool ContainsToken(std::string_view list, std::string_view name) {
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const std::size_t end = std::min(list.find(',', begin), list.size());
    std::string_view item = list.substr(begin, end - begin);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (EqualIgnoreCase(item, name)) {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

}  // namespace

bool EqualIgnoreCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, ToLower, ToLower);
}

const std::string* FindField(const std::vector<HttpField>& fields,
                             std::string_view name) {
  const auto found = std::ranges::find_if(fields, [&](const HttpField& field) {
    return EqualIgnoreCase(field.name, name);
  });
  return found == fields.end() ? nullptr : &found->value;
}

void SetField(std::vector<HttpField>& fields,
              std::string_view name,
              std::string value) {
  std::erase_if(fields, [&](const HttpField& field) {
    return EqualIgnoreCase(field.name, name);
  });
  fields.push_back({std::string(name), std::move(value)});
}

std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields) {
  std::vector<HttpField> forwarded;
  std::ranges::copy_if(
      fields, std::back_inserter(forwarded), [&](const HttpField& field) {
        const bool is_removed = std::ranges::any_of(
            kRemovedFields,
            [&](auto name) { return EqualIgnoreCase(name, field.name); });
        const bool is_connection_option =
            std::ranges::any_of(fields, [&](const auto& other) {
              return EqualIgnoreCase(other.name, "connection") &&
                     ContainsToken(other.value, field.name);
            });
        return !is_removed && !is_connection_option;
      });
  return forwarded;
}

std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t value = 0;
  if (text.empty() || text.size() > 18 ||
      !std::ranges::all_of(
          text, [](unsigned char c) { return std::isdigit(c) != 0; })) {
    return std::nullopt;
  }
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto read =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool valid = read.ec == std::errc() && read.ptr == end &&
                     std::isfinite(number) && !std::signbit(number);
  return valid ? std::optional(number) : std::nullopt;
}

}  // namespace yuccamast
