#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

#include "objects/objects.h"
#include "standins/memory_object_store.h"
#include "standins/object_server.h"

namespace poplarsail::objects {
namespace {

using standins::MemoryObjectStore;
using standins::ObjectServer;

constexpr std::chrono::milliseconds kCallTimeout{2'000};

Object MakeObject(const std::string& name, const std::string& state) {
  Object object;
  object.key = {"FailureDomain", name};
  object.spec = {{"state", state}};
  object.status = nlohmann::json::object();
  return object;
}

// One store under test, with the memory store behind it.
class Fixture {
 public:
  virtual ~Fixture() = default;
  virtual ObjectStore& store() = 0;
  virtual void LoseAnswers(int count) = 0;
  virtual void SetDown(bool is_down) = 0;
};

class MemoryFixture : public Fixture {
 public:
  ObjectStore& store() override { return m_store; }
  void LoseAnswers(int count) override {
    m_store.faults().lose_answers = count;
  }
  void SetDown(bool is_down) override { m_store.faults().is_down = is_down; }

 private:
  MemoryObjectStore m_store;
};

// The HTTP client against the stand-in server in a thread of its own.
class HttpFixture : public Fixture {
 public:
  HttpFixture()
      : m_server(&m_context, boost::asio::ip::make_address("127.0.0.1"), 0),
        m_store(m_server.endpoint(), kCallTimeout),
        m_thread([this] { m_context.run(); }) {}
  ~HttpFixture() override {
    m_context.stop();
    m_thread.join();
  }
  ObjectStore& store() override { return m_store; }
  void LoseAnswers(int count) override {
    OnServer([this, count] { m_server.store().faults().lose_answers = count; });
  }
  void SetDown(bool is_down) override {
    OnServer([this, is_down] { m_server.store().faults().is_down = is_down; });
  }

 private:
  template <typename Work>
  void OnServer(Work work) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  boost::asio::io_context m_context;
  ObjectServer m_server;
  HttpObjectStore m_store;
  std::thread m_thread;
};

template <typename StoreFixture>
void CheckContract() {
  StoreFixture fixture;
  ObjectStore& store = fixture.store();

  const Object first = store.Put(MakeObject("regina", "in"));
  CHECK(first.resource_version > 0);
  CHECK(first.generation == 1);
  CHECK(store.Get(first.key) == first);
  CHECK(store.List("FailureDomain").items == std::vector<Object>{first});
  CHECK(store.List("Service").items.empty());
  CHECK_THROWS_AS(store.Get({"FailureDomain", "brandon"}), NotFoundError);

  // A writer that saw no object, or an older version, loses.
  CHECK_THROWS_AS(store.Put(MakeObject("regina", "out")), ConflictError);
  Object change = first;
  change.spec["state"] = "out";
  const Object second = store.Put(change);
  CHECK(second.generation == 2);
  CHECK_THROWS_AS(store.Put(change), ConflictError);
  CHECK_THROWS_AS(store.Delete(first.key, first.resource_version),
                  ConflictError);

  // A watch resumes after the version that it names.
  const auto watch = store.Watch(first.resource_version);
  const auto event = watch->Next(model::Now() + std::chrono::seconds(20));
  REQUIRE(event);
  CHECK(event->object == second);
  store.Delete(second.key, second.resource_version);
  const auto deleted = watch->Next(model::Now() + std::chrono::seconds(20));
  REQUIRE(deleted);
  CHECK(deleted->type == WatchEventType::kDeleted);

  // A lost answer is resolved by reading back.
  fixture.LoseAnswers(1);
  const Object resolved = PutWithReadBack(&store, MakeObject("lost", "in"), 3);
  CHECK(resolved.spec["state"] == "in");
  CHECK(store.Get(resolved.key) == resolved);

  fixture.SetDown(true);
  CHECK_THROWS_AS(store.List(""), UnavailableError);
  CHECK_THROWS_AS(store.Put(MakeObject("x", "in")), UnavailableError);
  fixture.SetDown(false);
}

TEST_CASE("the memory store keeps the contract") {
  CheckContract<MemoryFixture>();
}

TEST_CASE("the HTTP client keeps the contract") {
  CheckContract<HttpFixture>();
}

TEST_CASE("a lost answer does not undo another writer's change") {
  MemoryObjectStore store;
  const Object first = store.Put(MakeObject("regina", "in"));
  Object mine = first;
  mine.spec["state"] = "out";
  // Another operator writes between the lost answer and the read.
  store.faults().lose_answers = 1;
  CHECK_THROWS_AS(store.Put(mine), UnknownOutcomeError);
  Object theirs = store.Get(first.key);
  theirs.spec["state"] = "in";
  const Object stored = store.Put(theirs);
  CHECK_THROWS_AS(PutWithReadBack(&store, mine, 3), ConflictError);
  CHECK(store.Get(first.key) == stored);
}

TEST_CASE("a watch from a compacted version is refused") {
  MemoryObjectStore store(2);
  for (int i = 0; i < 5; ++i) {
    store.Put(MakeObject("d" + std::to_string(i), "in"));
  }
  CHECK_THROWS_AS(store.Watch(1), CompactedError);
  CHECK_NOTHROW(store.Watch(4));
}

}  // namespace
}  // namespace poplarsail::objects
