#include "yuccamast/balance/room.h"

#include <algorithm>
#include <array>

namespace yuccamast {

namespace {

/// The room at one upstream with a fresh report for a call that would start
/// after `wait`.
Room RoomAfter(const UpstreamState& state,
               Duration wait,
               Duration service,
               const RoomRequest& request) {
  const Duration margin(static_cast<std::int64_t>(
      static_cast<double>(service.count()) * request.margin));
  const TimePoint end = request.now + wait + service - margin;
  if (end >= request.deadline) {
    return Room::kNone;
  }
  if (request.objective == TimePoint{} || end <= request.objective) {
    return Room::kInTime;
  }
  return state.takes_late() ? Room::kLate : Room::kNone;
}

}  // namespace

std::string_view NameOf(Room room) {
  constexpr std::array<std::string_view, 4> kNames = {"unknown", "in_time",
                                                      "late", "none"};
  return kNames.at(static_cast<std::size_t>(room));
}

RoomAssessment AssessRoom(std::span<const Candidate> candidates,
                          std::span<const std::size_t> queried,
                          const RoomRequest& request,
                          const EstimateOptions& options) {
  RoomAssessment best;
  best.room = Room::kNone;
  bool all_known = true;
  std::ranges::for_each(queried, [&](std::size_t index) {
    const Candidate& candidate = candidates[index];
    const UpstreamState& state = *candidate.state;
    if (state.IsLeaving(request.now)) {
      return;
    }
    const Duration age = state.ReportAge(request.now);
    if (age > options.fresh_report_age) {
      all_known = false;
      return;
    }
    const Duration reported = std::chrono::microseconds(state.service_us());
    const Duration service = request.expected_service > Duration::zero()
                                 ? std::min(request.expected_service, reported)
                                 : reported;
    const Duration queue_wait =
        state.WaitWithOwnSends(request.wait_rank, service);
    const Duration wait = NetworkDelay(candidate) + queue_wait;
    const bool first = best.fresh_reports == 0;
    ++best.fresh_reports;
    best.oldest_report = std::max(best.oldest_report, age);
    // The reported service time is a mean over all rules, so with a free slot
    // it does not prove that this call would be late.
    const Room worst =
        queue_wait > Duration::zero() ? Room::kNone : Room::kLate;
    best.room =
        std::min({best.room, worst, RoomAfter(state, wait, service, request)});
    if (first || wait < best.expected_wait) {
      best.expected_wait = wait;
      best.expected_service = service;
    }
  });
  const std::size_t needed = std::min(kMinReports, candidates.size());
  if (best.room == Room::kNone &&
      (!all_known || best.fresh_reports < needed || needed == 0)) {
    best.room = Room::kUnknown;
  }
  return best;
}

}  // namespace yuccamast
