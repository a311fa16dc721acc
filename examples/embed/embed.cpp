#include <cstdio>
#include <random>

#include "yuccamast/balance/policy.h"

/// Embeds the balance policy alone: three upstreams, one of which is busy.
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
  int busy = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto pick = Choose(PolicyKind::kLeastCost, candidates, {}, context,
                             [&] { return random(); });
    busy += pick == 0U ? 1 : 0;
  }
  std::printf("embed: the busy upstream got %d of 1000 calls\n", busy);
  return busy < 100 ? 0 : 1;
}
