#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "http/caller_request.h"
#include "http/memory_budget.h"

/// \file pipeline.h
/// The unanswered requests of one HTTP/1.1 connection, in order of arrival
/// (HTTP pipelining, RFC 9112, section 9.3.2).
///
/// Input: the steps of each request as the connection reads it, of its call as
/// the node runs it, and of its reply as it is written. Output: whether a
/// further request may be read, which one may be started, which reply is to be
/// written next and whether it ends the connection, and which calls to cancel.
/// There is no socket here.
///
/// A request may be started if it is the first, or if it and all unanswered
/// ones before it may overlap, that is, are idempotent. Replies may become
/// ready in any order and are written in the order of the requests.
///
/// Callers send requests behind a reply that closes the connection again,
/// whatever their method. Three rules keep these from running: nothing is read
/// behind a request whose own reply closes; a request that must run at most
/// once is started only when all replies before it have been written; and a
/// leaving node starts nothing behind an unanswered request and closes with the
/// reply to the last one that it has started.
///
/// Steps of a request: kReading, kWaiting, kRunning, kAnswered, kWriting. Only
/// the last request can be in kReading, and only the first in kWriting.

namespace yuccamast {

/// A request whose reply has not been written yet.
struct PendingRequest {
  enum class Step : std::uint8_t {
    kReading,
    kWaiting,
    kRunning,
    kAnswered,
    kWriting
  };

  PendingRequest(std::uint64_t number, MemoryBudget& budget)
      : id(number), memory(budget) {}

  const std::uint64_t id;
  Step step = Step::kReading;
  bool closes = false;       ///< Its reply ends the connection.
  bool may_overlap = false;  ///< See `CallerHooks::may_overlap`.
  bool is_head_method = false;
  unsigned http_version = 11;  ///< As in Beast: 10 or 11.
  std::string request_id;      ///< From `Dialect::request_id_field`, or empty.
  std::size_t held_bytes = 0;  ///< As read, and of the reply's body.
  CallerRequest request;       ///< Moved away when the call is started.
  CallHandle call;
  std::optional<CallerReply> reply;
  MemoryReservation memory;  ///< For the body; moves with it. For the reply.
};

/// Bounds of what one connection holds.
struct PipelineLimits {
  std::size_t max_requests = 1;
  /// A further request is read only while less than this is held.
  std::size_t max_bytes = 0;
};

/// See the file comment. Not thread-safe. References to requests are valid
/// until the request is removed. `budget` must outlive the pipeline.
class Pipeline {
 public:
  using Step = PendingRequest::Step;

  explicit Pipeline(MemoryBudget& budget) : m_budget(budget) {}

  /// Whether a further request may be read: none is being read, none ends the
  /// connection, and there is room. A leaving node reads none behind another.
  bool MayBegin(const PipelineLimits& limits, bool leaving) const;

  /// Adds a request that is being read. Precondition: none is.
  PendingRequest& Begin();

  /// The request that is being read, or null.
  PendingRequest* reading();

  /// The first request that may be started now, or null. The owner changes its
  /// step.
  PendingRequest* NextToStart(bool leaving);

  /// Stores the reply of a request that runs or is being read. Returns false
  /// and changes nothing if the request has an answer already, or is not, or no
  /// longer, pending.
  bool Answer(std::uint64_t id, CallerReply reply);

  /// The request whose reply is to be written now, or null. Its step becomes
  /// kWriting. Sets `closes` if the reply must end the connection; all requests
  /// behind it are removed then, and none of them was started.
  PendingRequest* NextToWrite(bool leaving);

  /// Removes the first request. Precondition: its step is kWriting.
  void PopWritten();

  /// Removes all requests, but not one in kWriting, and returns the hooks
  /// `on_caller_disconnect` of those that run.
  std::vector<std::function<void()>> Cancel();

  /// The request with this id, or null.
  PendingRequest* Find(std::uint64_t id);

  /// Precondition: not empty.
  const PendingRequest& front() const { return m_requests.front(); }
  bool empty() const { return m_requests.empty(); }
  std::size_t size() const { return m_requests.size(); }
  /// The most requests that were ever pending at once.
  std::size_t deepest() const { return m_deepest; }
  /// Bytes of requests and replies held.
  std::size_t bytes() const;
  /// Bytes reserved for the request that is being read and, if
  /// `with_replies`, for replies that are ready or being written.
  std::size_t ReservedBytes(bool with_replies) const;

 private:
  MemoryBudget& m_budget;
  std::list<PendingRequest> m_requests;
  std::uint64_t m_last_id = 0;
  std::size_t m_deepest = 0;
};

}  // namespace yuccamast
