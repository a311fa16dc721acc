// Compiled as C++17: the headers of cxxtools 3.0 use members of
// std::allocator that C++20 removed.
#include "yuccamast/json_value.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>
#include <sstream>

namespace yuccamast {

namespace {

using cxxtools::SerializationInfo;
using JsonResult = Result<JsonValue, JsonError>;

JsonError Fault(JsonFault fault, std::string detail) {
  return JsonError{fault, std::move(detail)};
}

/// Depth of brackets outside of strings and comments, before any recursion.
bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
      continue;
    }
    if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

JsonResult Convert(const SerializationInfo& info);

JsonResult ConvertArray(const SerializationInfo& info) {
  JsonValue::Array array;
  for (const auto& item : info) {
    auto value = Convert(item);
    if (!value) {
      return value.error();
    }
    array.push_back(std::move(value.value()));
  }
  return JsonValue(std::move(array));
}

JsonResult ConvertObject(const SerializationInfo& info) {
  JsonValue::Object object;
  std::set<std::string> keys;
  for (const auto& member : info) {
    const bool repeated = !keys.insert(member.name()).second;
    if (repeated) {
      return Fault(JsonFault::kDuplicateKey, member.name());
    }
    auto value = Convert(member);
    if (!value) {
      return value.error();
    }
    object.push_back({member.name(), std::move(value.value())});
  }
  return JsonValue(std::move(object));
}

JsonResult ConvertScalar(const SerializationInfo& info) {
  const std::string& type = info.typeName();
  if (type == "null") {
    return JsonValue(nullptr);
  }
  if (type == "bool") {
    bool value = false;
    info.getValue(value);
    return JsonValue(value);
  }
  if (type == "int") {
    long long value = 0;
    info.getValue(value);
    return JsonValue(static_cast<std::int64_t>(value));
  }
  if (type == "double") {
    double value = 0;
    info.getValue(value);
    return JsonValue(value);
  }
  if (type == "string") {
    std::string value;
    info.getValue(value);
    return JsonValue(std::move(value));
  }
  return Fault(JsonFault::kSyntax, "misspelt literal at key " + info.name());
}

JsonResult Convert(const SerializationInfo& info) {
  switch (info.category()) {
    case SerializationInfo::Object:
      return ConvertObject(info);
    case SerializationInfo::Array:
      return ConvertArray(info);
    default:
      return ConvertScalar(info);
  }
}

void Fill(SerializationInfo& info, const JsonValue& value) {
  if (const auto* object = value.AsObject()) {
    info.setCategory(SerializationInfo::Object);
    for (const auto& member : *object) {
      Fill(info.addMember(member.key), member.value);
    }
  } else if (const auto* array = value.AsArray()) {
    info.setCategory(SerializationInfo::Array);
    for (const auto& item : *array) {
      Fill(info.addMember(), item);
    }
  } else if (const auto* text = value.AsString()) {
    info.setValue(*text);
  } else if (const auto* number = value.AsInt()) {
    info.setValue(static_cast<long long>(*number));
  } else if (const auto* real = value.AsDouble()) {
    info.setValue(*real);
  } else if (const auto* flag = value.AsBool()) {
    info.setValue(*flag);
  } else {
    info.setNull();
  }
}

}  // namespace

JsonValue::JsonValue(Object value) : m_value(std::move(value)) {}

const JsonValue* JsonValue::Find(std::string_view key) const {
  const Object* object = AsObject();
  if (object == nullptr) {
    return nullptr;
  }
  const auto found =
      std::find_if(object->begin(), object->end(),
                   [&](const JsonMember& member) { return member.key == key; });
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
    default:
      return "syntax";
  }
}

JsonResult ParseJson(std::string_view text) {
  if (IsTooDeep(text)) {
    return Fault(JsonFault::kTooDeep, "more than 32 levels");
  }
  try {
    std::istringstream in{std::string(text)};
    cxxtools::JsonDeserializer deserializer(in);
    SerializationInfo info;
    deserializer.deserialize(info);
    std::string rest(std::istreambuf_iterator<char>(in), {});
    const bool blank = std::all_of(rest.begin(), rest.end(), [](char c) {
      return std::isspace(static_cast<unsigned char>(c)) != 0;
    });
    if (!blank) {
      return Fault(JsonFault::kTrailingText, rest.substr(0, 40));
    }
    return Convert(info);
  } catch (const std::exception& error) {
    return Fault(JsonFault::kSyntax, error.what());
  }
}

std::string WriteJson(const JsonValue& value, bool pretty) {
  SerializationInfo info;
  Fill(info, value);
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.beautify(pretty);
  serializer.serialize(info);
  serializer.finish();
  return out.str();
}

}  // namespace yuccamast
