#include "load/completion_predictor.h"

#include <catch2/catch.hpp>

namespace poplarsail::load {
namespace {

// Guards against full or slow upstreams that look as good as others.
TEST_CASE("a request waits for the first slot behind those that wait") {
  CHECK(PredictCompletionMs({2, 1, {}}, 10) == Approx(10));
  CHECK(PredictCompletionMs({2, 1, {50}}, 10) == Approx(10));
  CHECK(PredictCompletionMs({2, 1, {50, 20}}, 10) == Approx(30));
  CHECK(PredictCompletionMs({2, 1, {50, 20, 40}}, 10) == Approx(60));
  CHECK(PredictCompletionMs({1, 1, {50, 20}}, 10) == Approx(80));
  // A request that ran longer than expected frees no time.
  CHECK(PredictCompletionMs({1, 1, {-5, 20}}, 10) == Approx(30));
  // Only the new request's work is divided by the speed.
  CHECK(PredictCompletionMs({1, 0.5, {30}}, 10) == Approx(50));
  CHECK(PredictCompletionMs({1, 0, {}}, 10) == Approx(100));
}

// Guards against upstreams without stated slots and with very many.
TEST_CASE("any number of slots is predicted") {
  CHECK(PredictCompletionMs({0, 1, {50}}, 10) == Approx(60));
  CHECK(PredictCompletionMs({200'000, 1, std::vector<double>(199'999, 50.0)},
                            10) == Approx(10));
  CHECK(PredictCompletionMs({200'000, 1, std::vector<double>(400'000, 50.0)},
                            10) == Approx(110));
}

}  // namespace
}  // namespace poplarsail::load
