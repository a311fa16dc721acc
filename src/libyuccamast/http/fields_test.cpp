#include "http/fields.h"

#include <criterion/criterion.h>

#include <fstream>

#include "log/log.h"
#include "metrics/metrics.h"

using namespace yuccamast;  // NOLINT

// Guards against forwarding hop-by-hop fields, also those named in
// `Connection`, and against forged `Yuccamast-...` fields.
Test(fields, end_to_end_fields_excludes_hop_by_hop_and_own_fields) {
  const auto forwarded = EndToEndFields({{"Host", "a"},
                                         {"Connection", "keep-alive, X-Hop"},
                                         {"x-hop", "1"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Yuccamast-Call-Id", "forged"},
                                         {"Yuccamast-Outcome", "not-run"},
                                         {"Accept", "*/*"}});
  cr_assert_eq(forwarded.size(), 2U);
  cr_expect_eq(forwarded[0].name, "Host");
  cr_expect_eq(forwarded[1].name, "Accept");
}

Test(fields, parse_count_accepts_1_to_18_digits_only) {
  cr_expect_eq(*ParseCount("12"), 12);
  for (const char* bad : {"", "-1", "+1", "1 ", "0x1", "1234567890123456789"}) {
    cr_expect_not(ParseCount(bad).has_value(), "%s", bad);
  }
}

// Guards against log injection: a value from outside must not be able to end
// its line or field, nor to control a terminal.
Test(log, escapes_control_bytes_and_quotes_in_values) {
  const std::string line =
      FormatLine(LogLevel::kInfo, LogEvent::kCallRefused,
                 {{"target", "/a\nlevel=error x=\"1\"\x1b[0m"}, {"n", 3}});
  cr_expect_eq(line.find('\n'), std::string::npos);
  cr_expect_eq(line.find('\x1b'), std::string::npos);
  cr_expect_eq(line,
               "level=info event=call_refused "
               "target=\"/a\\x0alevel=error x=\\\"1\\\"\\x1b[0m\" n=3");
}

// Fails when a name is added to the code but not to docs/REFERENCE.md.
Test(reference, lists_every_refusal_reason_log_event_and_counter) {
  std::ifstream in(YUCCAMAST_DOCS "/REFERENCE.md");
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  const auto expect_row = [&](std::string_view name) {
    const std::string row = "| " + std::string(name) + " |";
    cr_expect_neq(text.find(row), std::string::npos, "%s", row.c_str());
  };
  for (const RefusalInfo& info : kRefusalTable) {
    expect_row(info.name);
  }
  for (std::size_t i = 0; i < kLogEventCount; ++i) {
    expect_row(NameOf(static_cast<LogEvent>(i)));
  }
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    expect_row(NameOf(static_cast<Counter>(i)));
  }
}

Test(metrics, histogram_quantiles_match_recorded_samples) {
  LatencyHistogram histogram;
  for (int i = 0; i < 99; ++i) {
    histogram.Record(std::chrono::milliseconds(1));
  }
  histogram.Record(std::chrono::seconds(1));
  cr_expect_eq(histogram.count(), 100U);
  cr_expect_float_eq(histogram.Quantile(0.5), 0.001, 0.00015);
  cr_expect_float_eq(histogram.Quantile(1.0), 1.0, 0.15);
}

Test(metrics, text_output_contains_every_counter) {
  Metrics metrics;
  metrics.Add(Counter::kCallsReceived, 3);
  metrics.AddRefusal(RefusalReason::kNoRule);
  metrics.Record(Latency::kCall, std::chrono::milliseconds(2));
  const std::string text = metrics.ToText();
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const std::string name(NameOf(static_cast<Counter>(i)));
    cr_expect_neq(text.find("yuccamast_" + name + "_total "),
                  std::string::npos);
  }
  cr_expect_neq(text.find("yuccamast_calls_received_total 3\n"),
                std::string::npos);
  cr_expect_neq(text.find("refusals_total{reason=\"no_rule\",outcome=\"not-"
                          "run\"} 1"),
                std::string::npos);
  cr_expect_neq(text.find("yuccamast_call_seconds_count 1"), std::string::npos);
}
