#include "http/pipeline.h"

#include <criterion/criterion.h>

/// The order of pipelined requests without a connection.

using namespace yuccamast;  // NOLINT
using Step = PendingRequest::Step;

namespace {

/// A pipeline whose requests are started as soon as they may be.
class PipelineFixture {
 public:
  /// Adds a request that was read whole and starts what may be started.
  std::uint64_t Read(bool may_overlap, bool closes = false) {
    PendingRequest& request = pipeline.Begin();
    request.may_overlap = may_overlap;
    request.closes = closes;
    request.step = Step::kWaiting;
    const std::uint64_t id = request.id;
    Start();
    return id;
  }
  void Start() {
    while (PendingRequest* request = pipeline.NextToStart(leaving)) {
      request->step = Step::kRunning;
      request->call.on_caller_disconnect = [this, id = request->id] {
        cancelled.push_back(id);
      };
      started.push_back(request->id);
    }
  }
  bool Answer(std::uint64_t id, std::size_t bytes = 1) {
    HttpReply reply;
    reply.body.assign(bytes, 'x');
    const bool taken = pipeline.Answer(id, {"", std::move(reply)});
    Start();
    return taken;
  }
  /// Writes what is ready. Returns whether the connection ends.
  bool Write() {
    while (PendingRequest* request = pipeline.NextToWrite(leaving)) {
      written.push_back(request->id);
      if (request->closes) {
        return true;
      }
      pipeline.PopWritten();
      Start();
    }
    return false;
  }
  bool MayBegin(std::size_t max_requests = 8, std::size_t max_bytes = 100) {
    return pipeline.MayBegin({max_requests, max_bytes}, leaving);
  }

  MemoryBudget budget{1000};
  Pipeline pipeline{budget};
  std::vector<std::uint64_t> started;
  std::vector<std::uint64_t> written;
  std::vector<std::uint64_t> cancelled;
  bool leaving = false;
};

using Ids = std::vector<std::uint64_t>;

}  // namespace

// Load: reads behind a slow read. None waits for the work of another, and the
// replies keep the order, whichever ends first.
Test(pipeline, reads_behind_a_slow_read) {
  PipelineFixture fixture;
  const Ids ids = {fixture.Read(true), fixture.Read(true), fixture.Read(true)};
  cr_expect_eq(fixture.started, ids);
  fixture.Answer(ids[2]);
  fixture.Answer(ids[1]);
  fixture.Write();
  cr_expect(fixture.written.empty());
  fixture.Answer(ids[0]);
  fixture.Write();
  cr_expect_eq(fixture.written, ids);
}

// Load: reads and writes mixed. A write is started when all replies before it
// were written, a read when no write before it is unanswered.
Test(pipeline, writes_among_reads) {
  PipelineFixture fixture;
  const auto read = fixture.Read(true);
  const auto write = fixture.Read(false);
  const auto behind = fixture.Read(true);
  cr_expect_eq(fixture.started, (Ids{read}));
  fixture.Answer(read);
  cr_expect_eq(fixture.started, (Ids{read}));
  fixture.Write();
  cr_expect_eq(fixture.started, (Ids{read, write}));
  fixture.Answer(write);
  cr_expect_eq(fixture.started, (Ids{read, write, behind}));
}

// Failure: a reply that closes the connection; callers send what is behind it
// again. It is not read, let alone run.
Test(pipeline, request_that_closes) {
  PipelineFixture fixture;
  const auto first = fixture.Read(true);
  const auto closing = fixture.Read(true, true);
  cr_expect_not(fixture.MayBegin());
  fixture.Answer(closing);
  cr_expect_not(fixture.Write());
  fixture.Answer(first);
  cr_expect(fixture.Write());
  cr_expect_eq(fixture.written, (Ids{first, closing}));
  cr_expect_not(fixture.MayBegin());
}

// Failure: a planned stop with calls pending. What runs is answered, the last
// reply of that closes, and nothing behind it is started.
Test(pipeline, stop_with_calls_pending) {
  PipelineFixture fixture;
  const auto first = fixture.Read(true);
  const auto second = fixture.Read(true);
  fixture.Read(false);
  fixture.leaving = true;
  cr_expect_not(fixture.MayBegin());
  fixture.Read(true);
  fixture.Answer(second);
  fixture.Answer(first);
  cr_expect(fixture.Write());
  cr_expect_eq(fixture.written, (Ids{first, second}));
  cr_expect_eq(fixture.started, (Ids{first, second}));
  cr_expect_eq(fixture.pipeline.size(), 1U);
}

// Failure: a stop that begins between two replies. The request that has become
// the first is served and its reply closes.
Test(pipeline, stop_before_a_waiting_request) {
  PipelineFixture fixture;
  const auto first = fixture.Read(false);
  const auto second = fixture.Read(false);
  fixture.Answer(first);
  cr_expect_not(fixture.Write());
  fixture.leaving = true;
  fixture.Answer(second);
  cr_expect(fixture.Write());
}

// Load: many requests, or large replies that are not read. The connection is
// not read on until there is room.
Test(pipeline, more_than_a_connection_may_hold) {
  PipelineFixture fixture;
  const auto first = fixture.Read(true);
  const auto second = fixture.Read(true);
  cr_expect_not(fixture.MayBegin(2));
  cr_expect(fixture.MayBegin(3));
  fixture.Answer(second, 100);
  cr_expect_not(fixture.MayBegin(3, 100));
  fixture.Answer(first);
  fixture.Write();
  cr_expect(fixture.MayBegin(1, 0));
  cr_expect_eq(fixture.pipeline.deepest(), 2U);
}

// Failure: a caller that leaves while a reply is written. All calls that run
// are cancelled, what they reserved is released, and the reply goes on.
Test(pipeline, caller_that_leaves) {
  PipelineFixture fixture;
  const auto first = fixture.Read(true);
  const auto second = fixture.Read(true);
  const auto third = fixture.Read(true);
  fixture.Read(false);
  fixture.Answer(first);
  const std::size_t reserved = fixture.budget.used();
  cr_expect(fixture.pipeline.Find(third)->memory.GrowTo(10));
  cr_assert_not_null(fixture.pipeline.NextToWrite(false));
  for (const auto& hook : fixture.pipeline.Cancel()) {
    hook();
  }
  cr_expect_eq(fixture.cancelled, (Ids{second, third}));
  cr_expect_eq(fixture.pipeline.size(), 1U);
  cr_expect_eq(fixture.budget.used(), reserved);
  cr_expect_not(fixture.Answer(second));
}

// Failure: a call that answers twice or late. The second answer reaches no
// request, neither its own nor the next.
Test(pipeline, second_answer_of_a_call) {
  PipelineFixture fixture;
  const auto first = fixture.Read(true);
  const auto second = fixture.Read(false);
  cr_expect(fixture.Answer(first));
  cr_expect_not(fixture.Answer(first));
  cr_expect_not(fixture.Answer(second), "it was not started");
  fixture.Write();
  cr_expect_not(fixture.Answer(first));
  cr_expect(fixture.Answer(second));
}
