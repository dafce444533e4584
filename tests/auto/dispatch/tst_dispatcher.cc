#include <catch2/catch.hpp>

#include <map>

#include "dispatch/dispatch.h"

namespace poplarsail::dispatch {
namespace {

const TimePoint kStart = model::FromUnixMillis(1'000'000);
constexpr std::chrono::milliseconds kTimeout{1'000};
constexpr char kService[] = "tally";

std::vector<RequestUpstream> Upstreams(int count, uint32_t slots) {
  std::vector<RequestUpstream> upstreams;
  for (int i = 1; i <= count; ++i) {
    upstreams.push_back(
        {"u" + std::to_string(i),
         *model::ParseEndpoint("192.0.2." + std::to_string(i) + ":80"), slots,
         false});
  }
  return upstreams;
}

RequestInfo Request(RequestId id, bool is_idempotent) {
  return {id, kService, kStart + kTimeout, is_idempotent};
}

// Returns a dispatcher whose service has a full retry budget and whose
// upstreams have raised concurrency limits.
Dispatcher MakeWarmDispatcher(int upstreams, uint32_t slots) {
  Dispatcher dispatcher(7);
  dispatcher.SetUpstreams(kService, Upstreams(upstreams, slots), kStart);
  for (RequestId id = 1'000; id < 1'100; ++id) {
    dispatcher.Submit(Request(id, true), kStart);
    dispatcher.FinishAttempt(id, AttemptOutcome::kResponseReceived, kStart);
  }
  return dispatcher;
}

// Guards against retrying a request that is not idempotent and may have run,
// and against reporting such a request to its client as not run.
TEST_CASE("a failed attempt is retried or refused with its actual outcome") {
  struct Case {
    bool is_idempotent;
    AttemptOutcome outcome;
    bool is_retried;
    RefusalCause cause;
    bool did_not_run;
  };
  const std::vector<Case> cases = {
      {true, AttemptOutcome::kShed, true, {}, true},
      {false, AttemptOutcome::kShed, true, {}, true},
      {false, AttemptOutcome::kNotRun, true, {}, true},
      {true, AttemptOutcome::kUnknown, true, {}, false},
      {false, AttemptOutcome::kUnknown, false, RefusalCause::kOutcomeUnknown,
       false},
  };
  for (const Case& item : cases) {
    Dispatcher dispatcher = MakeWarmDispatcher(2, 2);
    const auto started =
        dispatcher.Submit(Request(1, item.is_idempotent), kStart);
    REQUIRE(started.size() == 1);
    REQUIRE(started[0].kind == DispatchActionKind::kStart);
    const auto next = dispatcher.FinishAttempt(1, item.outcome, kStart);
    REQUIRE(next.size() == 1);
    if (item.is_retried) {
      CHECK(next[0].kind == DispatchActionKind::kStart);
      CHECK(next[0].upstream.name != started[0].upstream.name);
      continue;
    }
    CHECK(next[0].kind == DispatchActionKind::kRefuse);
    CHECK(next[0].cause == item.cause);
    CHECK(next[0].did_not_run == item.did_not_run);
    CHECK(dispatcher.open_requests() == 0);
  }
}

TEST_CASE("a request that may have run is never refused as not run") {
  Dispatcher dispatcher = MakeWarmDispatcher(3, 2);
  dispatcher.Submit(Request(1, true), kStart);
  dispatcher.FinishAttempt(1, AttemptOutcome::kUnknown, kStart);
  dispatcher.FinishAttempt(1, AttemptOutcome::kShed, kStart);
  const auto last = dispatcher.FinishAttempt(1, AttemptOutcome::kShed, kStart);
  REQUIRE(last.size() == 1);
  CHECK(last[0].cause == RefusalCause::kRetriesExhausted);
  CHECK_FALSE(last[0].did_not_run);
}

TEST_CASE("no upstream runs more requests than it has slots") {
  Dispatcher dispatcher = MakeWarmDispatcher(2, 2);
  int started = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    for (const auto& action : dispatcher.Submit(Request(id, false), kStart)) {
      started += action.kind == DispatchActionKind::kStart ? 1 : 0;
    }
  }
  CHECK(started == 4);
  CHECK(dispatcher.queued_requests() == 16);
  const auto next =
      dispatcher.FinishAttempt(1, AttemptOutcome::kResponseReceived, kStart);
  REQUIRE(next.size() == 1);
  CHECK(next[0].kind == DispatchActionKind::kStart);
  CHECK(next[0].request == 5);
}

TEST_CASE("a full queue refuses requests immediately as not run") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 1);
  for (RequestId id = 1; id <= 1 + kMaxQueueLength; ++id) {
    dispatcher.Submit(Request(id, false), kStart);
  }
  const auto refused = dispatcher.Submit(Request(900, false), kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].cause == RefusalCause::kQueueFull);
  CHECK(refused[0].did_not_run);
}

TEST_CASE("a passed deadline cancels running and refuses queued requests") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 1);
  dispatcher.Submit(Request(1, false), kStart);
  dispatcher.Submit(Request(2, false), kStart);
  const auto actions = dispatcher.Tick(kStart + kTimeout);
  std::map<RequestId, bool> not_run;
  bool cancelled = false;
  for (const auto& action : actions) {
    if (action.kind == DispatchActionKind::kRefuse) {
      CHECK(action.cause == RefusalCause::kDeadlinePassed);
      not_run[action.request] = action.did_not_run;
    }
    cancelled |=
        action.kind == DispatchActionKind::kCancel && action.request == 1;
  }
  CHECK(cancelled);
  CHECK(not_run == std::map<RequestId, bool>{{1, false}, {2, true}});
  CHECK(dispatcher.open_requests() == 0);
}

TEST_CASE("the late outcome of a cancelled request is ignored") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 1);
  dispatcher.Submit(Request(1, false), kStart);
  CHECK(dispatcher.Cancel(1, kStart).size() == 1);
  CHECK(dispatcher.FinishAttempt(1, AttemptOutcome::kResponseReceived, kStart)
            .empty());
  const auto next = dispatcher.Submit(Request(2, false), kStart);
  REQUIRE(next.size() == 1);
  CHECK(next[0].kind == DispatchActionKind::kStart);
}

TEST_CASE("a draining upstream finishes its requests and gets no new ones") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 2);
  dispatcher.Submit(Request(1, false), kStart);
  auto upstreams = Upstreams(1, 2);
  upstreams[0].is_draining = true;
  dispatcher.SetUpstreams(kService, upstreams, kStart);
  const auto refused = dispatcher.Submit(Request(2, false), kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].cause == RefusalCause::kNoUpstream);
  CHECK(dispatcher.FinishAttempt(1, AttemptOutcome::kResponseReceived, kStart)
            .empty());
  CHECK(dispatcher.open_requests() == 0);
}

TEST_CASE("retries are limited to a fraction of the requests") {
  Dispatcher dispatcher = MakeWarmDispatcher(3, 50);
  int starts = 0;
  TimePoint now = kStart;
  for (RequestId id = 1; id <= 200; ++id) {
    now += kFailurePause;
    dispatcher.SetUpstreams(kService, Upstreams(3, 50), now);
    DispatchActions actions =
        dispatcher.Submit({id, kService, now + kTimeout, false}, now);
    while (!actions.empty() && actions[0].kind == DispatchActionKind::kStart) {
      ++starts;
      actions = dispatcher.FinishAttempt(id, AttemptOutcome::kShed, now);
    }
  }
  CHECK(starts <= 200 + kMaxRetryTokens + 200 * kRetryTokensPerRequest);
}

TEST_CASE("a stopping host refuses new requests as not run") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 1);
  dispatcher.StopAccepting(kStart);
  const auto refused = dispatcher.Submit(Request(1, false), kStart);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].cause == RefusalCause::kStopping);
  CHECK(refused[0].did_not_run);
}

TEST_CASE("removing a service refuses its queued requests") {
  Dispatcher dispatcher = MakeWarmDispatcher(1, 1);
  dispatcher.Submit(Request(1, false), kStart);
  dispatcher.Submit(Request(2, false), kStart);
  const auto actions = dispatcher.RemoveService(kService, kStart);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].request == 2);
  CHECK(actions[0].did_not_run);
  CHECK(dispatcher.FinishAttempt(1, AttemptOutcome::kResponseReceived, kStart)
            .empty());
  CHECK(dispatcher.Submit(Request(3, false), kStart)[0].cause ==
        RefusalCause::kNoSuchService);
}

}  // namespace
}  // namespace poplarsail::dispatch
