#include "json/object_reader.h"

#include <algorithm>

namespace yuccamast {

std::string_view NameOf(FieldFault fault) {
  switch (fault) {
    case FieldFault::kMissing:
      return "missing";
    case FieldFault::kWrongType:
      return "wrong_type";
    case FieldFault::kOutOfRange:
      return "out_of_range";
    case FieldFault::kUnknownKey:
      return "unknown_key";
    case FieldFault::kUnknownName:
      return "unknown_name";
  }
  return "wrong_type";
}

ObjectReader::ObjectReader(const JsonValue& value,
                           std::string prefix,
                           std::vector<FieldError>* errors)
    : m_value(value), m_prefix(std::move(prefix)), m_errors(errors) {
  if (const JsonValue::Object* object = m_value.AsObject()) {
    m_known.resize(object->size());
  } else {
    m_errors->push_back({m_prefix, FieldFault::kWrongType});
  }
}

const JsonValue* ObjectReader::Get(std::string_view key) {
  const JsonValue::Object* object = m_value.AsObject();
  if (object == nullptr) {
    return nullptr;
  }
  const auto found = std::ranges::find(*object, key, &JsonMember::key);
  if (found == object->end()) {
    return nullptr;
  }
  m_known[static_cast<std::size_t>(found - object->begin())] = true;
  return &found->value;
}

std::string ObjectReader::String(
    std::string_view key,
    const std::optional<std::string>& default_value) {
  const JsonValue* value = Get(key);
  if (value == nullptr) {
    if (!default_value) {
      Report(key, FieldFault::kMissing);
    }
    return default_value.value_or("");
  }
  const std::string* text = value->AsString();
  if (text == nullptr) {
    Report(key, FieldFault::kWrongType);
    return "";
  }
  return *text;
}

std::int64_t ObjectReader::Int(std::string_view key,
                               IntRange range,
                               std::optional<std::int64_t> default_value) {
  const JsonValue* value = Get(key);
  if (value == nullptr) {
    if (!default_value) {
      Report(key, FieldFault::kMissing);
    }
    return default_value.value_or(range.low);
  }
  const std::int64_t* number = value->AsInt();
  if (number == nullptr) {
    Report(key, FieldFault::kWrongType);
    return range.low;
  }
  if (*number < range.low || *number > range.high) {
    Report(key, FieldFault::kOutOfRange);
    return range.low;
  }
  return *number;
}

double ObjectReader::Double(std::string_view key,
                            double low,
                            double high,
                            double default_value) {
  const JsonValue* value = Get(key);
  if (value == nullptr) {
    return default_value;
  }
  double number = default_value;
  if (const double* real = value->AsDouble()) {
    number = *real;
  } else if (const std::int64_t* whole = value->AsInt()) {
    number = static_cast<double>(*whole);
  } else {
    Report(key, FieldFault::kWrongType);
    return default_value;
  }
  if (number < low || number > high) {
    Report(key, FieldFault::kOutOfRange);
  }
  return number;
}

bool ObjectReader::Bool(std::string_view key,
                        std::optional<bool> default_value) {
  const JsonValue* value = Get(key);
  if (value == nullptr) {
    if (!default_value) {
      Report(key, FieldFault::kMissing);
    }
    return default_value.value_or(false);
  }
  const bool* flag = value->AsBool();
  if (flag == nullptr) {
    Report(key, FieldFault::kWrongType);
    return false;
  }
  return *flag;
}

std::chrono::milliseconds ObjectReader::Millis(
    std::string_view key,
    IntRange range,
    std::optional<std::int64_t> default_value) {
  return std::chrono::milliseconds(Int(key, range, default_value));
}

void ObjectReader::Report(std::string_view key, FieldFault fault) {
  m_errors->push_back({m_prefix + std::string(key), fault});
}

void ObjectReader::Finish() {
  const JsonValue::Object* object = m_value.AsObject();
  if (object == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < object->size(); ++i) {
    if (!m_known[i]) {
      Report((*object)[i].key, FieldFault::kUnknownKey);
    }
  }
}

}  // namespace yuccamast
