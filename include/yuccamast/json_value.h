#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "yuccamast/result.h"

/// \file json_value.h
/// A JSON document as a typed tree, parsed and written with RapidJSON.
///
/// `ParseJson` is stricter than RapidJSON, since settings and configuration
/// must not be ambiguous: it refuses repeated keys, text after the document,
/// integers that do not fit in a signed 64-bit type, and nesting deeper than
/// `kMaxJsonDepth`. C and C++ comments are allowed. Parsing is iterative, so
/// deep nesting cannot exhaust the stack.
///
/// `ParseForeignJson` is for documents of other programs, in which a value that
/// this project does not use must not make the rest unreadable: a number that
/// fits no type becomes the nearest double, and half a surrogate pair becomes
/// U+FFFD, the replacement character. In all else it is as strict.
///
/// An object is a vector of members in the order of the document; finding a key
/// is linear.

namespace yuccamast {

class JsonValue;

/// A key of an object with its value. It is a template only so that it can be
/// named while `JsonValue` is incomplete; use `JsonMember`.
template <typename Value>
struct JsonMemberOf {
  std::string key;
  Value value;
};

using JsonMember = JsonMemberOf<JsonValue>;

/// A JSON value: null, a boolean, a 64-bit signed integer, a double, a string,
/// an array or an object. A regular type; concurrent reads are safe.
class JsonValue {
 public:
  using Array = std::vector<JsonValue>;
  using Object = std::vector<JsonMember>;

  JsonValue() = default;
  JsonValue(std::nullptr_t) {}                            // NOLINT
  JsonValue(bool value) : m_value(value) {}               // NOLINT
  JsonValue(int value) : m_value(std::int64_t{value}) {}  // NOLINT
  JsonValue(std::int64_t value) : m_value(value) {}       // NOLINT
  /// Precondition: `value` is less than 2^63; larger ones become negative.
  JsonValue(std::uint64_t value)  // NOLINT
      : m_value(static_cast<std::int64_t>(value)) {}
  JsonValue(std::uint32_t value) : m_value(std::int64_t{value}) {}    // NOLINT
  JsonValue(double value) : m_value(value) {}                         // NOLINT
  JsonValue(const char* value) : m_value(std::string(value)) {}       // NOLINT
  JsonValue(std::string value) : m_value(std::move(value)) {}         // NOLINT
  JsonValue(std::string_view value) : m_value(std::string(value)) {}  // NOLINT
  JsonValue(Array value) : m_value(std::move(value)) {}               // NOLINT
  JsonValue(Object value);                                            // NOLINT

  // The getters below return null if the value has another type. `AsDouble` is
  // null for an integer.

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

  /// The number, whole or not, or nothing if it isn't one.
  std::optional<double> AsNumber() const {
    const std::int64_t* whole = AsInt();
    const double* real = AsDouble();
    return whole != nullptr  ? std::optional(static_cast<double>(*whole))
           : real != nullptr ? std::optional(*real)
                             : std::nullopt;
  }

  /// The value of the member `key`; null if there is none or if this is not an
  /// object.
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
  kSyntax,        ///< Malformed, or a number that does not fit its type.
  kTrailingText,  ///< There is text after the document.
  kDuplicateKey,  ///< An object has the same key twice.
  kTooDeep,       ///< Nesting deeper than `kMaxJsonDepth`.
};

/// An error of `ParseJson`.
struct JsonError {
  JsonFault fault = JsonFault::kSyntax;
  /// Depending on the error: its position, the repeated key, the bad number,
  /// the start of the trailing text, or the depth limit. Only for display.
  std::string detail;
};

/// Name of a fault in reports, such as `duplicate_key`.
std::string_view NameOf(JsonFault fault);

/// Largest number of arrays and objects that may be open at the same time.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// Parses one document, which must be the whole text. Thread-safe.
Result<JsonValue, JsonError> ParseJson(std::string_view text);

/// The same for a document of another program, see the file comment.
Result<JsonValue, JsonError> ParseForeignJson(std::string_view text);

/// Writes `value` as JSON, indented if `pretty`. Infinity and NaN, which JSON
/// cannot express, are written as null. Thread-safe.
std::string WriteJson(const JsonValue& value, bool pretty = false);

}  // namespace yuccamast
