#include "http/pipeline.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace yuccamast {

namespace {

using Step = PendingRequest::Step;

bool IsAnswered(const PendingRequest& request) {
  return request.step == Step::kAnswered || request.step == Step::kWriting;
}

}  // namespace

bool Pipeline::MayBegin(const PipelineLimits& limits, bool leaving) const {
  if (m_requests.empty()) {
    return true;
  }
  const PendingRequest& last = m_requests.back();
  return !leaving && !last.closes && last.step != Step::kReading &&
         size() < limits.max_requests && bytes() < limits.max_bytes;
}

PendingRequest& Pipeline::Begin() {
  PendingRequest& request = m_requests.emplace_back(++m_last_id, m_budget);
  m_deepest = std::max(m_deepest, size());
  return request;
}

PendingRequest* Pipeline::reading() {
  const bool found =
      !m_requests.empty() && m_requests.back().step == Step::kReading;
  return found ? &m_requests.back() : nullptr;
}

PendingRequest* Pipeline::NextToStart(bool leaving) {
  const auto waiting =
      std::ranges::find(m_requests, Step::kWaiting, &PendingRequest::step);
  if (waiting == m_requests.end()) {
    return nullptr;
  }
  if (waiting == m_requests.begin()) {
    return &*waiting;
  }
  const bool may_start =
      !leaving && waiting->may_overlap &&
      std::all_of(m_requests.begin(), waiting, [](const auto& earlier) {
        return IsAnswered(earlier) || earlier.may_overlap;
      });
  return may_start ? &*waiting : nullptr;
}

bool Pipeline::Answer(std::uint64_t id, CallerReply reply) {
  PendingRequest* request = Find(id);
  if (request == nullptr ||
      (request->step != Step::kRunning && request->step != Step::kReading)) {
    return false;
  }
  request->step = Step::kAnswered;
  request->call = {};
  if (const auto* http_reply = std::get_if<HttpReply>(&reply.result)) {
    request->held_bytes += http_reply->body.size();
    request->memory.SetTo(http_reply->body.capacity(), MemoryUse::kWritten);
  }
  request->reply = std::move(reply);
  return true;
}

PendingRequest* Pipeline::NextToWrite(bool leaving) {
  if (m_requests.empty() || m_requests.front().step != Step::kAnswered) {
    return nullptr;
  }
  PendingRequest& first = m_requests.front();
  first.step = Step::kWriting;
  const auto behind = std::next(m_requests.begin());
  const bool is_last_started =
      std::all_of(behind, m_requests.end(), [](const PendingRequest& request) {
        return request.step == Step::kReading || request.step == Step::kWaiting;
      });
  first.closes = first.closes || (leaving && is_last_started);
  if (first.closes) {
    m_requests.erase(behind, m_requests.end());
  }
  return &first;
}

void Pipeline::PopWritten() {
  m_requests.pop_front();
}

std::vector<std::function<void()>> Pipeline::Cancel() {
  std::vector<std::function<void()>> hooks;
  std::ranges::for_each(m_requests, [&](PendingRequest& request) {
    if (request.step == Step::kRunning && request.call.on_caller_disconnect) {
      hooks.push_back(std::move(request.call.on_caller_disconnect));
    }
  });
  const bool is_writing =
      !m_requests.empty() && m_requests.front().step == Step::kWriting;
  m_requests.erase(std::next(m_requests.begin(), is_writing ? 1 : 0),
                   m_requests.end());
  return hooks;
}

PendingRequest* Pipeline::Find(std::uint64_t id) {
  const auto found = std::ranges::find(m_requests, id, &PendingRequest::id);
  return found == m_requests.end() ? nullptr : &*found;
}

std::size_t Pipeline::ReservedBytes(bool with_replies) const {
  return std::transform_reduce(
      m_requests.begin(), m_requests.end(), std::size_t{0}, std::plus<>(),
      [&](const PendingRequest& request) {
        const bool counts = request.step == Step::kReading ||
                            (with_replies && IsAnswered(request));
        return counts ? request.memory.bytes() : 0;
      });
}

std::size_t Pipeline::bytes() const {
  return std::transform_reduce(m_requests.begin(), m_requests.end(),
                               std::size_t{0}, std::plus<>(),
                               std::mem_fn(&PendingRequest::held_bytes));
}

}  // namespace yuccamast
