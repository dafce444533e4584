#ifndef STANDINS_FAKE_PLATFORM_STORE_H_
#define STANDINS_FAKE_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "model/model.h"

namespace poplarsail::standins {

// How the fake responds to calls.
enum class StoreMode : uint8_t {
  kServe,
  // Calls are answered with status 503.
  kUnavailable,
  // Calls are answered with status 429.
  kThrottled,
  // Calls are neither executed nor answered.
  kUnresponsive,
  // Connections are reset.
  kReset,
  // Writes are executed but not answered.
  kDropResponses,
  // Calls are executed and answered after kLateResponseDelay.
  kLateResponses,
};

// Longer than clients wait for a response.
inline constexpr std::chrono::milliseconds kLateResponseDelay{1'800};

// In-memory fake of the platform's store.
class FakePlatformStore {
 public:
  FakePlatformStore(boost::asio::io_context* context,
                    const model::Endpoint& endpoint);

  model::Endpoint endpoint() const;
  void set_mode(StoreMode mode) { m_mode = mode; }
  // Lists with "serializable=1" show the state of this long ago.
  void set_list_age(std::chrono::milliseconds age) { m_list_age = age; }
  // Maximum number of objects per page of a list. A page also ends after 1 MB.
  void set_page_size(size_t size) { m_page_size = size; }

  // Write an object on behalf of an operator or an upstream. Put() returns the
  // revision of the store afterwards.
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Writes an object whose spec is any text, valid JSON or not. The store
  // serves it as it is.
  uint64_t PutText(const std::string& kind,
                   const std::string& name,
                   std::string spec);
  // Drops the event history: watches from an earlier revision get status 410.
  void Compact();

  // Copies the objects and the revision, for a later restore.
  void TakeSnapshot();
  // Goes back to the snapshot: all connections are reset, revisions repeat, the
  // era rises by one, and watches from a revision that the store does not have
  // get status 410.
  void Restore();
  // The era that responses state; 0 to state none.
  void set_era(uint64_t era) { m_era = era; }
  uint64_t era() const { return m_era; }

  bool Contains(const std::string& kind, const std::string& name) const;
  nlohmann::json Spec(const std::string& kind, const std::string& name) const;
  uint64_t revision() const { return m_revision; }
  // Sets a callback that gets the number of each call before it is served.
  void set_on_call(std::function<void(uint64_t)> on_call) {
    m_on_call = std::move(on_call);
  }
  uint64_t call_count() const { return m_call_count; }

 private:
  struct Session;
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool is_deleted = false;
  };
  // What a change replaced.
  struct Undo {
    std::chrono::steady_clock::time_point changed_at;
    uint64_t revision_before = 0;
    std::string kind;
    std::string name;
    // Null if there was no object.
    nlohmann::json object;
  };
  struct Watch {
    std::shared_ptr<Session> session;
    std::string kind;
    uint64_t from_revision = 0;
    uint64_t number = 0;
  };

  void AcceptNext();
  void ReadNext(const std::shared_ptr<Session>& session);
  void Serve(const std::shared_ptr<Session>& session);
  void Respond(const std::shared_ptr<Session>& session,
               unsigned status,
               const nlohmann::json& body);
  void SendResponse(const std::shared_ptr<Session>& session);
  // Replaces the placeholders in a body.
  std::string InsertSpecTexts(std::string_view body) const;
  // Size of the object as it is served.
  size_t ObjectSize(const nlohmann::json& object) const;
  void ServeList(const std::shared_ptr<Session>& session,
                 const std::string& kind,
                 const std::string& after,
                 std::chrono::milliseconds age);
  void RecordUndo(const std::string& kind, const std::string& name);
  void ServeWatch(const std::shared_ptr<Session>& session,
                  const std::string& kind,
                  uint64_t from_revision,
                  uint64_t wait_ms);
  void ServeWrite(const std::shared_ptr<Session>& session,
                  const std::string& kind,
                  const std::string& name);
  nlohmann::json EventsAfter(const std::string& kind,
                             uint64_t from_revision) const;
  void NotifyWatches();

  boost::asio::io_context* m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  StoreMode m_mode = StoreMode::kServe;
  std::chrono::milliseconds m_list_age{0};
  size_t m_page_size = 500;
  std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
  std::vector<Event> m_history;
  std::vector<Undo> m_undos;
  std::list<Watch> m_watches;
  struct Snapshot {
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    uint64_t revision = 1;
  };
  Snapshot m_snapshot;
  // Texts of specs that are not JSON, by the placeholder that stands for them.
  std::map<std::string, std::string> m_spec_texts;
  std::list<std::weak_ptr<Session>> m_sessions;
  uint64_t m_era = 0;
  uint64_t m_revision = 1;
  uint64_t m_compacted_revision = 0;
  uint64_t m_call_count = 0;
  uint64_t m_watch_count = 0;
  std::function<void(uint64_t)> m_on_call;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_FAKE_PLATFORM_STORE_H_
