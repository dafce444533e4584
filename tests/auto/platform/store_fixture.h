#ifndef TESTS_AUTO_PLATFORM_STORE_FIXTURE_H_
#define TESTS_AUTO_PLATFORM_STORE_FIXTURE_H_

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <string>

#include "platform/http_state_store.h"
#include "standins/fake_platform_store.h"
#include "standins/platform_objects.h"

namespace poplarsail::platform {

inline nlohmann::json UpstreamSpec(const std::string& state) {
  return standins::RegistrationSpec("tally", {0x0a000001, 80}, "regina", state);
}

class StoreFixture {
 public:
  // Runs one call until it completes and returns its result or throws its
  // error.
  template <typename Result>
  Result Await(boost::asio::awaitable<Result> call) {
    std::optional<Result> result;
    std::exception_ptr failure;
    bool is_done = false;
    boost::asio::co_spawn(context, std::move(call),
                          [&](const std::exception_ptr& error, Result value) {
                            failure = error;
                            result = std::move(value);
                            is_done = true;
                          });
    RunUntil([&]() { return is_done; });
    if (failure) {
      std::rethrow_exception(failure);
    }
    return *result;
  }

  void RunUntil(const std::function<bool()>& condition) {
    context.restart();
    while (!condition()) {
      REQUIRE(context.run_one() > 0);
    }
  }

  boost::asio::io_context context;
  standins::FakePlatformStore store{
      &context,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
  HttpStateStore state{&context, store.endpoint()};
};

inline cluster_state::SteadyTime FromNow(std::chrono::milliseconds wait) {
  return std::chrono::steady_clock::now() + wait;
}

// Name of the entry of another writer.
inline constexpr const char* kOddName = "i-00c0ffee";

inline const cluster_state::ClusterState::UpstreamEntry& EntryAt(
    const entry::StateBatch& batch,
    size_t index) {
  return std::get<cluster_state::ClusterState::UpstreamEntry>(
      batch.entries.at(index));
}

// The middle entry of three is the odd one.
inline void CheckOnlyTheOddOneIsMissing(const entry::StateBatch& batch) {
  REQUIRE(batch.entries.size() == 3);
  CHECK(EntryAt(batch, 0).value.has_value());
  CHECK(EntryAt(batch, 1).name == kOddName);
  CHECK_FALSE(EntryAt(batch, 1).value.has_value());
  CHECK(EntryAt(batch, 2).value.has_value());
}

struct OddEntryFixture : StoreFixture {
  entry::StateBatch List() {
    return Await(state.List(cluster_state::ObjectKind::kUpstreams,
                            entry::ReadFreshness::kMayBeStale));
  }
  entry::StateBatch WatchFrom(uint64_t revision) {
    return Await(state.Watch(cluster_state::ObjectKind::kUpstreams, revision,
                             FromNow(std::chrono::seconds(1))));
  }
};

}  // namespace poplarsail::platform

#endif  // TESTS_AUTO_PLATFORM_STORE_FIXTURE_H_
