#include "scheduling/single_request_detector.h"

#include <catch2/catch.hpp>

namespace poplarsail::scheduling {
namespace {

const model::Ipv4Endpoint kListener{0x0a000001, 80};

SingleRequestDetector Learned(int single_count, int reused_count) {
  SingleRequestDetector detector;
  for (int i = 0; i < single_count; ++i) {
    detector.RecordFlow(kListener, 1);
  }
  for (int i = 0; i < reused_count; ++i) {
    detector.RecordFlow(kListener, 5);
  }
  return detector;
}

}  // namespace

// Guards against scheduling a listener before its flows are known.
TEST_CASE("A listener is undecided before eight flows have ended") {
  CHECK(Learned(7, 0).IsUndecided(kListener));
  CHECK_FALSE(Learned(7, 0).CarriesSingleRequests(kListener));
  CHECK_FALSE(Learned(8, 0).IsUndecided(kListener));
  CHECK(Learned(8, 0).CarriesSingleRequests(kListener));
  // Port scans and clients that give up send no request.
  SingleRequestDetector empty;
  for (int i = 0; i < 20; ++i) {
    empty.RecordFlow(kListener, 0);
  }
  CHECK(empty.IsUndecided(kListener));
}

// Guards against scheduling long flows, which are no unit of work.
TEST_CASE("Nine of ten flows must carry one request") {
  CHECK(Learned(27, 3).CarriesSingleRequests(kListener));
  CHECK_FALSE(Learned(26, 3).CarriesSingleRequests(kListener));
}

// Guards against flows that stay open and would never be counted as ended.
TEST_CASE("Open flows with a second request count at once and only once") {
  SingleRequestDetector detector = Learned(32, 0);
  for (int i = 0; i < 3; ++i) {
    detector.RecordReuse(kListener);
  }
  CHECK(detector.CarriesSingleRequests(kListener));
  for (int i = 0; i < 3; ++i) {
    detector.RecordFlow(kListener, 2);
  }
  CHECK(detector.CarriesSingleRequests(kListener));
  detector.RecordReuse(kListener);
  CHECK_FALSE(detector.CarriesSingleRequests(kListener));
}

// Guards against a verdict that outlives a change of the clients' habits.
TEST_CASE("Only the last 32 flows of a listener count") {
  SingleRequestDetector detector = Learned(0, 100);
  for (int i = 0; i < 32; ++i) {
    CHECK_FALSE(detector.CarriesSingleRequests({kListener.address, 81}));
    detector.RecordFlow(kListener, 1);
  }
  CHECK(detector.CarriesSingleRequests(kListener));
}

}  // namespace poplarsail::scheduling
