#include "yuccamast/json_value.h"

#include <criterion/criterion.h>

#include "json/object_reader.h"

using namespace yuccamast;  // NOLINT

namespace {

JsonFault FaultOf(const std::string& text) {
  const auto parsed = ParseJson(text);
  cr_assert(!parsed, "accepted: %s", text.c_str());
  return parsed.error().fault;
}

}  // namespace

// RapidJSON by itself accepts several of these texts. The deep one guards
// against an overflow of the stack, the large integer against silent loss of
// precision.
Test(json, invalid_and_ambiguous_documents_are_refused) {
  cr_expect(FaultOf(R"({"a": tru})") == JsonFault::kSyntax);
  cr_expect(FaultOf(R"({"a": 1} x)") == JsonFault::kTrailingText);
  cr_expect(FaultOf(R"({"a": 1, "a": 2})") == JsonFault::kDuplicateKey);
  cr_expect(FaultOf(std::string(100'000, '[')) == JsonFault::kTooDeep);
  cr_expect(FaultOf(R"({"a": 99999999999999999999})") == JsonFault::kSyntax);
  cr_expect(FaultOf("") == JsonFault::kSyntax);
}

Test(json, round_trip_preserves_types_and_escapes) {
  const std::string text =
      WriteJson(JsonValue::Object{{"s", "a\n\"\x01"},
                                  {"i", std::int64_t{-7}},
                                  {"b", true},
                                  {"n", nullptr},
                                  {"l", JsonValue::Array{1, 2}}});
  const auto parsed = ParseJson(text);
  cr_assert(static_cast<bool>(parsed), "%s", text.c_str());
  cr_expect_eq(*parsed.value().Find("s")->AsString(), "a\n\"\x01");
  cr_expect_eq(*parsed.value().Find("i")->AsInt(), -7);
  cr_expect(*parsed.value().Find("b")->AsBool());
  cr_expect(parsed.value().Find("n")->IsNull());
  cr_expect_eq(parsed.value().Find("l")->AsArray()->size(), 2U);
}

Test(json, reader_reports_types_bounds_and_unknown_keys) {
  const auto json = ParseJson(R"({"a": "x", "b": 5, "c": 1})");
  std::vector<FieldError> errors;
  ObjectReader reader(json.value(), "p.", &errors);
  reader.Int("a", {0, 10}, 0);
  reader.Int("b", {0, 4}, 0);
  reader.String("d", std::nullopt);
  reader.Finish();
  cr_assert_eq(errors.size(), 4U);
  cr_expect(errors[0].fault == FieldFault::kWrongType);
  cr_expect(errors[1].fault == FieldFault::kOutOfRange);
  cr_expect(errors[2].fault == FieldFault::kMissing);
  cr_expect(errors[3].fault == FieldFault::kUnknownKey);
  cr_expect_eq(errors[3].key, "p.c");
}
