#include <cstdio>
#include <random>

#include "yuccamast/balance/policy.h"

/// Uses the balance policy as a library, without a node: chooses among three
/// upstreams by their load reports. The first one runs 9 calls and admits at
/// most 10, the others run 2 each. The example fails (exit code 1) if the busy
/// one gets 100 or more of 1000 calls.
int main() {
  using namespace yuccamast;
  const TimePoint now = Clock::now();
  std::vector<Candidate> candidates;
  for (std::uint32_t running : {9U, 2U, 2U}) {
    auto state = std::make_shared<UpstreamState>(now, false);
    LoadReport report;
    report.running = running;
    report.limit = 10;
    report.service_us = 5000;
    state->OnReport(report, now);
    candidates.push_back({state, Duration::zero()});
  }
  std::mt19937_64 random(1);
  ChoiceContext context;
  context.now = now;
  int busy_calls = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto chosen = Choose(PolicyKind::kLeastCost, candidates, {}, context,
                               [&] { return random(); });
    busy_calls += chosen == 0U ? 1 : 0;
  }
  std::printf("embed: the busy upstream got %d of 1000 calls\n", busy_calls);
  return busy_calls < 100 ? 0 : 1;
}
