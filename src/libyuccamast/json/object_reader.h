#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/json_value.h"

/// \file object_reader.h
/// Reads the members of one JSON object with their types and bounds checked.
///
/// Each getter marks its key as known. `Finish` reports every key that no
/// getter asked for, so a misspelt key can never be ignored.

namespace yuccamast {

/// What is wrong with one member.
enum class FieldFault : std::uint8_t {
  kMissing,
  kWrongType,
  kOutOfRange,
  kUnknownKey,
  kUnknownName,
};

/// Name of a fault in reports.
std::string_view NameOf(FieldFault fault);

struct FieldError {
  std::string key;
  FieldFault fault = FieldFault::kWrongType;
};

/// Bounds, inclusive, of a whole number.
struct IntRange {
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Reads one object. Not thread-safe. The value must outlive the reader.
class ObjectReader {
 public:
  /// `prefix` is put before each key in errors, as in `rules.book.`.
  ObjectReader(const JsonValue& value,
               std::string prefix,
               std::vector<FieldError>* errors);

  /// The member `key`, or null if absent. Marks the key as known.
  const JsonValue* Get(std::string_view key);

  std::string String(std::string_view key,
                     const std::optional<std::string>& otherwise);
  std::int64_t Int(std::string_view key,
                   IntRange range,
                   std::optional<std::int64_t> otherwise);
  double Double(std::string_view key,
                double low,
                double high,
                double otherwise);
  bool Bool(std::string_view key, std::optional<bool> otherwise);
  std::chrono::milliseconds Millis(std::string_view key,
                                   IntRange range,
                                   std::optional<std::int64_t> otherwise);

  /// A value out of a table of names. `parse` maps a name to an optional.
  template <typename Enum, typename Parse>
  Enum Name(std::string_view key, Parse parse, std::optional<Enum> otherwise) {
    const JsonValue* value = Get(key);
    if (value == nullptr) {
      if (!otherwise) {
        Report(key, FieldFault::kMissing);
      }
      return otherwise.value_or(Enum{});
    }
    const std::string* text = value->AsString();
    if (text == nullptr) {
      Report(key, FieldFault::kWrongType);
      return otherwise.value_or(Enum{});
    }
    const std::optional<Enum> found = parse(*text);
    if (!found) {
      Report(key, FieldFault::kUnknownName);
    }
    return found.value_or(Enum{});
  }

  void Report(std::string_view key, FieldFault fault);

  /// Reports the members that were not asked for.
  void Finish();

 private:
  const JsonValue& m_value;
  std::string m_prefix;
  std::vector<FieldError>* m_errors;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace yuccamast
