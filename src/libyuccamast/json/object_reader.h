#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/json_value.h"

/// \file object_reader.h
/// Reads the members of one JSON object and checks their types and ranges.
///
/// Errors do not stop reading: each is appended to a list that the constructor
/// is given, and the getter returns a placeholder, so that all errors of an
/// object are found in one pass. If the list is not empty, what was read must
/// be discarded.
///
/// Each getter marks its key as known. `Finish` reports every key that no
/// getter asked for, so a misspelt key is never ignored.

namespace yuccamast {

/// Kinds of errors in a member.
enum class FieldFault : std::uint8_t {
  kMissing,      ///< It is required but absent.
  kWrongType,    ///< Its value has the wrong JSON type.
  kOutOfRange,   ///< Its value is outside the allowed range.
  kUnknownKey,   ///< No getter asked for its key.
  kUnknownName,  ///< Its value is not one of the allowed names.
};

/// Name of a fault in reports, such as `wrong_type`.
std::string_view NameOf(FieldFault fault);

/// An error in one member.
struct FieldError {
  std::string key;  ///< With the prefix of its reader.
  FieldFault fault = FieldFault::kWrongType;
};

/// Inclusive range of an integer.
struct IntRange {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Reads one object. Not thread-safe. The value and the list of errors must
/// outlive the reader.
///
/// The typed getters return `default_value` if the member is absent; without a
/// default, an absent member is reported as `kMissing`. What they return after
/// an error is unspecified.
class ObjectReader {
 public:
  /// `prefix`, such as `vms.upstreams.`, is put before each key in errors. Each
  /// error is appended to `errors`. A value that is not an object is reported
  /// with `prefix` as the key.
  ObjectReader(const JsonValue& value,
               std::string prefix,
               std::vector<FieldError>* errors);

  /// The value of the member `key`, unchecked, or null if it is absent. Marks
  /// the key as known.
  const JsonValue* Get(std::string_view key);

  std::string String(std::string_view key,
                     const std::optional<std::string>& default_value);
  /// An integer in `range`.
  std::int64_t Int(std::string_view key,
                   IntRange range,
                   std::optional<std::int64_t> default_value);
  /// A number between `low` and `high`, inclusive; an integer is accepted too.
  double Double(std::string_view key,
                double low,
                double high,
                double default_value);
  bool Bool(std::string_view key, std::optional<bool> default_value);
  /// An integer in `range` as a number of milliseconds.
  std::chrono::milliseconds Millis(std::string_view key,
                                   IntRange range,
                                   std::optional<std::int64_t> default_value);

  /// A value given by its name. `parse` maps a name to an optional value.
  template <typename Enum, typename Parse>
  Enum Name(std::string_view key,
            Parse parse,
            std::optional<Enum> default_value) {
    const JsonValue* value = Get(key);
    if (value == nullptr) {
      if (!default_value) {
        Report(key, FieldFault::kMissing);
      }
      return default_value.value_or(Enum{});
    }
    const std::string* text = value->AsString();
    if (text == nullptr) {
      Report(key, FieldFault::kWrongType);
      return default_value.value_or(Enum{});
    }
    const std::optional<Enum> found = parse(*text);
    if (!found) {
      Report(key, FieldFault::kUnknownName);
    }
    return found.value_or(Enum{});
  }

  /// Appends an error about `key`; for checks that the getters do not make.
  void Report(std::string_view key, FieldFault fault);

  /// Reports each member whose key no getter asked for. Call it after the last
  /// getter.
  void Finish();

 private:
  const JsonValue& m_value;
  std::string m_prefix;
  std::vector<FieldError>* m_errors;
  std::vector<bool> m_known;  ///< By the index of the member.
};

}  // namespace yuccamast
