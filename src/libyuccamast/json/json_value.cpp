#include "yuccamast/json_value.h"

#include <rapidjson/memorystream.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <optional>

namespace yuccamast {

namespace {

using JsonResult = Result<JsonValue, JsonError>;

/// A key that `object` has more than once, or nothing.
std::optional<std::string> FindRepeatedKey(const JsonValue::Object& object) {
  std::vector<std::string_view> keys;
  keys.reserve(object.size());
  std::ranges::transform(
      object, std::back_inserter(keys),
      [](const JsonMember& member) { return std::string_view(member.key); });
  std::ranges::sort(keys);
  const auto repeated = std::ranges::adjacent_find(keys);
  return repeated == keys.end() ? std::nullopt
                                : std::optional(std::string(*repeated));
}

/// Parses a number: a double if it has a fraction or an exponent, otherwise a
/// 64-bit integer. Nothing if it does not fit.
std::optional<JsonValue> ParseNumber(std::string_view text) {
  const char* const end = text.data() + text.size();
  if (text.find_first_of(".eE") == std::string_view::npos) {
    std::int64_t number = 0;
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end
               ? std::optional(JsonValue(number))
               : std::nullopt;
  }
  double number = 0;
  const auto read = std::from_chars(text.data(), end, number);
  return read.ec == std::errc() && read.ptr == end
             ? std::optional(JsonValue(number))
             : std::nullopt;
}

/// The double that is nearest to a number that `ParseNumber` does not accept;
/// infinity if it is larger than all of them.
JsonValue NearestDouble(std::string_view text) {
  return std::strtod(std::string(text).c_str(), nullptr);
}

/// The code unit that the escape sequence at `at` stands for, as in `\\u00e9`;
/// nothing if there is none.
std::optional<unsigned> EscapedCodeUnit(std::string_view text, std::size_t at) {
  constexpr std::string_view kStart = "\\u";
  constexpr std::size_t kDigits = 4;
  if (at >= text.size() || !text.substr(at).starts_with(kStart)) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(at + kStart.size(), kDigits);
  const char* const end = digits.data() + digits.size();
  unsigned unit = 0;
  const auto read = std::from_chars(digits.data(), end, unit, 16);
  return digits.size() == kDigits && read.ec == std::errc() && read.ptr == end
             ? std::optional(unit)
             : std::nullopt;
}

/// `text` with U+FFFD in place of each escaped surrogate without its other
/// half.
std::string ReplaceUnpairedSurrogates(std::string text) {
  constexpr std::string_view kReplacement = "\\ufffd";
  const auto is_high = [](unsigned unit) {
    return unit >> 10U == 0xd800 >> 10;
  };
  const auto is_low = [](unsigned unit) { return unit >> 10U == 0xdc00 >> 10; };
  std::size_t at = text.find('\\');
  while (at != std::string::npos) {
    const auto unit = EscapedCodeUnit(text, at);
    const std::size_t next = at + kReplacement.size();
    if (!unit) {
      at += 2;  // Another escape sequence, such as an escaped backslash.
    } else if (is_high(*unit) &&
               is_low(EscapedCodeUnit(text, next).value_or(0))) {
      at = next + kReplacement.size();
    } else {
      if (is_high(*unit) || is_low(*unit)) {
        text.replace(at, kReplacement.size(), kReplacement);
      }
      at = next;
    }
    at = text.find('\\', at);
  }
  return text;
}

/// What to do with a number that fits no type.
enum class LargeNumbers : std::uint8_t { kRefuse, kRound };

/// Builds the tree from RapidJSON's SAX events. The names of the public methods
/// are prescribed by RapidJSON's Handler concept; false stops the parser.
class TreeBuilder {
 public:
  explicit TreeBuilder(LargeNumbers large_numbers)
      : m_large_numbers(large_numbers) {}

  bool Null() { return Add(JsonValue(nullptr)); }
  bool Bool(bool value) { return Add(JsonValue(value)); }
  bool RawNumber(const char* text, rapidjson::SizeType size, bool /*copy*/) {
    auto number = ParseNumber({text, size});
    if (!number && m_large_numbers == LargeNumbers::kRound) {
      number = NearestDouble({text, size});
    }
    return number ? Add(std::move(*number))
                  : Fail(JsonFault::kSyntax, {text, size});
  }
  bool String(const char* text, rapidjson::SizeType size, bool /*copy*/) {
    return Add(JsonValue(std::string(text, size)));
  }
  bool Key(const char* text, rapidjson::SizeType size, bool /*copy*/) {
    m_members.push_back({std::string(text, size), JsonValue()});
    return true;
  }
  bool StartObject() { return Open(Container::kObject); }
  bool StartArray() { return Open(Container::kArray); }
  bool EndObject(rapidjson::SizeType count) {
    const auto first = m_members.end() - count;
    JsonValue::Object object(std::make_move_iterator(first),
                             std::make_move_iterator(m_members.end()));
    if (const auto key = FindRepeatedKey(object)) {
      return Fail(JsonFault::kDuplicateKey, *key);
    }
    return Close(first, JsonValue(std::move(object)));
  }
  bool EndArray(rapidjson::SizeType count) {
    const auto first = m_members.end() - count;
    JsonValue::Array array;
    array.reserve(count);
    std::ranges::transform(
        first, m_members.end(), std::back_inserter(array),
        [](JsonMember& member) { return std::move(member.value); });
    return Close(first, JsonValue(std::move(array)));
  }

  // Not called, since kParseNumbersAsStringsFlag is set.
  bool Int(int /*value*/) { return false; }
  bool Uint(unsigned /*value*/) { return false; }
  bool Int64(std::int64_t /*value*/) { return false; }
  bool Uint64(std::uint64_t /*value*/) { return false; }
  bool Double(double /*value*/) { return false; }

  const std::optional<JsonError>& error() const { return m_error; }
  JsonValue TakeRoot() { return std::move(m_root); }

 private:
  enum class Container : std::uint8_t { kObject, kArray };

  bool Fail(JsonFault fault, std::string_view detail) {
    m_error = JsonError{fault, std::string(detail)};
    return false;
  }

  /// Begins an array or object.
  bool Open(Container container) {
    if (m_open_containers.size() >= kMaxJsonDepth) {
      return Fail(JsonFault::kTooDeep, "more than 32 levels");
    }
    m_open_containers.push_back(container);
    return true;
  }

  /// Ends the innermost array or object, whose members begin at `first`, and
  /// adds it to the one around it.
  bool Close(std::vector<JsonMember>::iterator first, JsonValue value) {
    m_members.erase(first, m_members.end());
    m_open_containers.pop_back();
    return Add(std::move(value));
  }

  /// Adds a value to the innermost array or object, or makes it the root.
  bool Add(JsonValue value) {
    if (m_open_containers.empty()) {
      m_root = std::move(value);
    } else if (m_open_containers.back() == Container::kObject) {
      m_members.back().value = std::move(value);
    } else {
      m_members.push_back({std::string(), std::move(value)});
    }
    return true;
  }

  const LargeNumbers m_large_numbers;
  JsonValue m_root;
  std::vector<Container> m_open_containers;  ///< Outermost first.
  /// Members of the open containers read so far, those of inner ones last. A
  /// member of an array has no key; the last one of an object may have no value
  /// yet.
  std::vector<JsonMember> m_members;
  std::optional<JsonError> m_error;
};

template <typename Writer>
void Write(Writer& writer, const JsonValue& value) {
  const auto size_of = [](const std::string& text) {
    return static_cast<rapidjson::SizeType>(text.size());
  };
  if (const auto* object = value.AsObject()) {
    writer.StartObject();
    for (const JsonMember& member : *object) {
      writer.Key(member.key.data(), size_of(member.key));
      Write(writer, member.value);
    }
    writer.EndObject();
  } else if (const auto* array = value.AsArray()) {
    writer.StartArray();
    for (const JsonValue& item : *array) {
      Write(writer, item);
    }
    writer.EndArray();
  } else if (const auto* text = value.AsString()) {
    writer.String(text->data(), size_of(*text));
  } else if (const auto* number = value.AsInt()) {
    writer.Int64(*number);
  } else if (const auto* real = value.AsDouble();
             real != nullptr && std::isfinite(*real)) {
    writer.Double(*real);
  } else if (const auto* flag = value.AsBool()) {
    writer.Bool(*flag);
  } else {
    writer.Null();  // Also infinity and NaN, which JSON cannot express.
  }
}

}  // namespace

JsonValue::JsonValue(Object value) : m_value(std::move(value)) {}

const JsonValue* JsonValue::Find(std::string_view key) const {
  const Object* object = AsObject();
  if (object == nullptr) {
    return nullptr;
  }
  const auto found = std::ranges::find(*object, key, &JsonMember::key);
  return found == object->end() ? nullptr : &found->value;
}

std::string_view NameOf(JsonFault fault) {
  switch (fault) {
    case JsonFault::kTrailingText:
      return "trailing_text";
    case JsonFault::kDuplicateKey:
      return "duplicate_key";
    case JsonFault::kTooDeep:
      return "too_deep";
    case JsonFault::kSyntax:
      break;
  }
  return "syntax";
}

namespace {

JsonResult Parse(std::string_view text, LargeNumbers large_numbers) {
  constexpr unsigned kFlags =
      rapidjson::kParseIterativeFlag | rapidjson::kParseCommentsFlag |
      rapidjson::kParseNumbersAsStringsFlag | rapidjson::kParseStopWhenDoneFlag;
  rapidjson::MemoryStream in(text.data(), text.size());
  rapidjson::Reader reader;
  TreeBuilder builder(large_numbers);
  const auto parsed = reader.Parse<kFlags>(in, builder);
  if (builder.error()) {
    return *builder.error();
  }
  if (parsed.IsError()) {
    return JsonError{JsonFault::kSyntax,
                     "at byte " + std::to_string(parsed.Offset())};
  }
  const std::string_view rest = text.substr(in.Tell());
  if (const auto at = rest.find_first_not_of(" \t\r\n");
      at != std::string_view::npos) {
    constexpr std::size_t kMaxShownBytes = 40;
    return JsonError{JsonFault::kTrailingText,
                     std::string(rest.substr(at, kMaxShownBytes))};
  }
  return builder.TakeRoot();
}

}  // namespace

JsonResult ParseJson(std::string_view text) {
  return Parse(text, LargeNumbers::kRefuse);
}

JsonResult ParseForeignJson(std::string_view text) {
  if (text.find("\\u") == std::string_view::npos) {
    return Parse(text, LargeNumbers::kRound);
  }
  return Parse(ReplaceUnpairedSurrogates(std::string(text)),
               LargeNumbers::kRound);
}

std::string WriteJson(const JsonValue& value, bool pretty) {
  rapidjson::StringBuffer out;
  if (pretty) {
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(out);
    Write(writer, value);
  } else {
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    Write(writer, value);
  }
  return {out.GetString(), out.GetSize()};
}

}  // namespace yuccamast
