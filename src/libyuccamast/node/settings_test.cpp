#include "node/settings.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "source/published.h"

using namespace yuccamast;  // NOLINT

namespace {

const std::string kGood = R"({
  // Comments are allowed.
  "vm": "vm-1", "ip": "127.0.0.1", "data_centre": "mn-1",
  "caller_port": 8080, "inner_port": 8081, "control_port": 8082,
  "upstream": {"name": "ledger-1", "port": 9000},
  "platform": {"config_ip": "127.0.0.1", "config_port": 9500},
  "stop": {"drain_ms": 1000}
})";

std::string Replaced(const std::string& what, const std::string& by) {
  std::string text = kGood;
  text.replace(text.find(what), what.size(), by);
  return text;
}

void ExpectFault(const std::string& text,
                 const std::string& key,
                 FieldFault fault) {
  const auto settings = ParseSettings(text);
  cr_assert(!settings);
  const auto& fields = settings.error().fields;
  const bool found = std::ranges::any_of(fields, [&](const FieldError& error) {
    return error.key == key && error.fault == fault;
  });
  cr_expect(found, "%s", key.c_str());
}

}  // namespace

Test(settings, absent_keys_take_defaults) {
  const auto settings = ParseSettings(kGood);
  cr_assert(static_cast<bool>(settings));
  cr_expect_eq(settings.value().upstream_ip, "127.0.0.1");
  cr_expect(settings.value().stop.drain == std::chrono::seconds(1));
  cr_expect_eq(settings.value().vm_list.port, 9500);
}

// Guards against a node that takes more memory than its machine has, or less
// than an operator allows.
Test(settings, memory_of_the_machine_bounds_the_budget) {
  const auto budget = [](const std::string& members) {
    const auto settings = ParseSettings(Replaced("\"vm\"", members + "\"vm\""));
    return settings ? settings.value().memory_bytes >> 20U : 0;
  };
  cr_expect_eq(budget(""), 64U);
  cr_expect_eq(budget("\"memory_mb\": 160, "), 80U);
  cr_expect_eq(budget("\"memory_mb\": 64, "), 16U);
  cr_expect_eq(budget("\"memory_mb\": 160, \"memory_bytes\": 10485760, "), 10U);
  for (const std::string value : {"0", "-1", "15", "1048577", "9e18"}) {
    ExpectFault(
        Replaced("\"vm\"", "\"memory_mb\": " + value + ", \"vm\""), "memory_mb",
        value == "9e18" ? FieldFault::kWrongType : FieldFault::kOutOfRange);
  }
  ExpectFault(Replaced("\"vm\"", "\"memory_mb\": \"160\", \"vm\""), "memory_mb",
              FieldFault::kWrongType);
}

// Guards against errors that an operator cannot locate: each must name its key,
// with the path of the enclosing objects, and the kind of fault.
Test(settings, each_error_names_its_key) {
  ExpectFault(Replaced("8080", "80800"), "caller_port",
              FieldFault::kOutOfRange);
  ExpectFault(Replaced("\"drain_ms\"", "\"drain\""), "stop.drain",
              FieldFault::kUnknownKey);
  ExpectFault(Replaced("9000", "\"9000\""), "upstream.port",
              FieldFault::kWrongType);
  ExpectFault(Replaced("\"ip\": \"127.0.0.1\"", "\"ip\": \"host\""), "ip",
              FieldFault::kOutOfRange);
  ExpectFault(Replaced("\"platform\"", "\"platfrom\""), "platform",
              FieldFault::kMissing);
}

// Guards against routing by a part of a VM list: a VM with a bad address, a
// missing port, an unknown state or a duplicate id must cause the whole list
// to be refused.
Test(published, vm_list_with_one_malformed_vm_is_refused) {
  const std::string good =
      R"({"id": "a", "ip": "10.0.0.1", "inner_port": 1, "data_centre": "d"})";
  cr_expect(static_cast<bool>(ParseVmList(R"({"vms": [)" + good + "]}")));
  for (const std::string& bad :
       {std::string(R"({"id": "b", "ip": "x", "inner_port": 1,
                        "data_centre": "d"})"),
        std::string(R"({"id": "b", "ip": "10.0.0.1", "data_centre": "d"})"),
        std::string(R"({"id": "b", "ip": "10.0.0.1", "inner_port": 1,
                        "data_centre": "d", "state": "maybe"})"),
        good}) {
    cr_expect_not(ParseVmList(R"({"vms": [)" + good + "," + bad + "]}"));
  }
  cr_expect_not(ParseVmList(R"({"vms": {}})"));
  for (const char* evacuated : {R"("dc1")", "[1]", R"([""])", "{}", "true"}) {
    const auto list = ParseVmList(R"({"vms": [], "evacuated": )" +
                                  std::string(evacuated) + "}");
    cr_assert(!list, "%s", evacuated);
    cr_expect_eq(list.error().fields.at(0).key, "evacuated");
  }
}

// A written configuration must be parsed back with the same revision and text,
// including escaped characters.
Test(published, configuration_round_trip) {
  const PublishedConfig config{7, {{"a.json", "{\"x\": \"\\n\"}"}}};
  const auto parsed = ParsePublishedConfig(WritePublishedConfig(config));
  cr_assert(static_cast<bool>(parsed));
  cr_expect_eq(parsed.value().revision, 7U);
  cr_expect_eq(parsed.value().files[0].text, config.files[0].text);
}

// Guards against a set of emptied data centres that is lost between peers, and
// against a new digest of lists without one.
Test(published, emptied_data_centres_are_passed_on_to_peers) {
  VmList list;
  cr_expect_eq(WriteVmList(list), R"({"revision":0,"vms":[]})");
  list.evacuated = {"dc1", "dc2"};
  const auto parsed = ParseVmList(WriteVmList(list));
  cr_assert(static_cast<bool>(parsed));
  cr_expect_eq(parsed.value().evacuated, list.evacuated);
  const auto unsorted =
      ParseVmList(R"({"vms": [], "evacuated": ["dc2", "dc1", "dc2"]})");
  cr_assert(static_cast<bool>(unsorted));
  cr_expect_eq(unsorted.value().evacuated, list.evacuated);
}
