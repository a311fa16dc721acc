#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "yuccamast/result.h"

/// \file json_value.h
/// A JSON document as a typed tree, parsed and written by RapidJSON.
///
/// `ParseJson` refuses repeated keys, text behind the document, integers that
/// do not fit and deep nesting, since settings and configuration must mean one
/// thing only. Comments are allowed.

namespace yuccamast {

class JsonValue;

/// One key of an object with its value. A template only so that it can be
/// named before `JsonValue` is complete; use `JsonMember`.
template <typename Value>
struct JsonMemberOf {
  std::string key;
  Value value;
};

using JsonMember = JsonMemberOf<JsonValue>;

/// A JSON value. A regular type; concurrent reads are safe.
class JsonValue {
 public:
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;

  JsonValue() = default;
  JsonValue(std::nullptr_t) {}                            // NOLINT
  JsonValue(bool value) : m_value(value) {}               // NOLINT
  JsonValue(int value) : m_value(std::int64_t{value}) {}  // NOLINT
  JsonValue(std::int64_t value) : m_value(value) {}       // NOLINT
  JsonValue(std::uint64_t value)                          // NOLINT
      : m_value(static_cast<std::int64_t>(value)) {}
  JsonValue(std::uint32_t value) : m_value(std::int64_t{value}) {}    // NOLINT
  JsonValue(double value) : m_value(value) {}                         // NOLINT
  JsonValue(const char* value) : m_value(std::string(value)) {}       // NOLINT
  JsonValue(std::string value) : m_value(std::move(value)) {}         // NOLINT
  JsonValue(std::string_view value) : m_value(std::string(value)) {}  // NOLINT
  JsonValue(Array value) : m_value(std::move(value)) {}               // NOLINT
  JsonValue(Object value);                                            // NOLINT

  bool IsNull() const {
    return std::holds_alternative<std::nullptr_t>(m_value);
  }
  const bool* AsBool() const { return std::get_if<bool>(&m_value); }
  const std::int64_t* AsInt() const {
    return std::get_if<std::int64_t>(&m_value);
  }
  const double* AsDouble() const { return std::get_if<double>(&m_value); }
  const std::string* AsString() const {
    return std::get_if<std::string>(&m_value);
  }
  const Array* AsArray() const { return std::get_if<Array>(&m_value); }
  Array* AsArray() { return std::get_if<Array>(&m_value); }
  const Object* AsObject() const { return std::get_if<Object>(&m_value); }
  Object* AsObject() { return std::get_if<Object>(&m_value); }

  /// The member called `key` of an object, or null if there is none.
  const JsonValue* Find(std::string_view key) const;

 private:
  std::variant<std::nullptr_t,
               bool,
               std::int64_t,
               double,
               std::string,
               Array,
               Object>
      m_value;
};

/// Why a text is not accepted as JSON.
enum class JsonFault : std::uint8_t {
  kSyntax,
  kTrailingText,
  kDuplicateKey,
  kTooDeep,
};

struct JsonError {
  JsonFault fault = JsonFault::kSyntax;
  std::string detail;  ///< Position or key, for people.
};

/// Name of a fault in reports.
std::string_view NameOf(JsonFault fault);

/// Nesting beyond this depth is refused.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses one document. Thread-safe.
Result<JsonValue, JsonError> ParseJson(std::string_view text);

/// Writes `value` as JSON, indented if `pretty`. Thread-safe.
std::string WriteJson(const JsonValue& value, bool pretty = false);

}  // namespace yuccamast
