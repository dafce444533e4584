// Stand-in of the platform's metadata store: lists and watches of objects.
#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <utility>
// Boost 1.74 needs <utility> before it.
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class MetadataStore {
 public:
  using Tcp = boost::asio::ip::tcp;

  MetadataStore(boost::asio::io_context* context, const Tcp::endpoint& address)
      : m_context(context), m_acceptor(*context, address) {
    Accept();
  }

  // Lists with serializable=1 show the state of this long ago. Objects that
  // were written before Open() count as old.
  void set_list_age(milliseconds age) { m_list_age = age; }
  // Watches with serializable=1 show it as well.
  void set_watch_age(milliseconds age) { m_watch_age = age; }
  void Open() { m_is_open = true; }

  // Both return the revision, as the store's answer to the writer does. `spec`
  // is JSON text and is stored as it is.
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const std::string& spec) {
    const auto known = m_objects[kind].find(name);
    if (known != m_objects[kind].end() && known->second.spec == spec) {
      return m_revision;
    }
    m_objects[kind][name] = {++m_revision, spec};
    Record({m_revision, Now(), kind, name, spec, false});
    return m_revision;
  }

  uint64_t Remove(const std::string& kind, const std::string& name) {
    const auto known = m_objects[kind].find(name);
    if (known != m_objects[kind].end()) {
      const std::string spec = known->second.spec;
      m_objects[kind].erase(known);
      ++m_revision;
      Record({m_revision, Now(), kind, name, spec, true});
    }
    return m_revision;
  }

  // Closes the connection of each watch of `kind` that is waiting, and returns
  // their number.
  size_t CutWatches(const std::string& kind) {
    size_t count = 0;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
      if (watch->kind != kind) {
        ++watch;
        continue;
      }
      boost::system::error_code ignored;
      watch->session->socket.close(ignored);
      watch->session->timer.cancel();
      watch = m_watches.erase(watch);
      ++count;
    }
    return count;
  }

  uint64_t calls() const { return m_calls; }

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };
  struct Event {
    uint64_t revision = 0;
    Clock::time_point at;
    std::string kind;
    std::string name;
    std::string spec;
    bool is_deleted = false;
  };
  struct Session {
    explicit Session(Tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}

    Tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::streambuf input;
    std::string output;
  };
  using SessionPointer = std::shared_ptr<Session>;
  struct Watch {
    SessionPointer session;
    std::string kind;
    uint64_t from = 0;
  };

  // The store answers within this time.
  static constexpr milliseconds kAnswerTime{4};

  Clock::time_point Now() const {
    return m_is_open ? Clock::now() : Clock::time_point();
  }

  void Record(Event event) {
    m_events.push_back(std::move(event));
    if (m_watch_age.count() == 0) {
      return NotifyWatches();
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(*m_context, m_watch_age);
    timer->async_wait(
        [this, timer](const boost::system::error_code&) { NotifyWatches(); });
  }

  void NotifyWatches() {
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
      const std::string events = EventsAfter(watch->kind, watch->from);
      if (events.empty()) {
        ++watch;
        continue;
      }
      const SessionPointer session = watch->session;
      watch = m_watches.erase(watch);
      session->timer.cancel();
      AnswerWatch(session, events);
    }
  }

  static std::string ObjectText(const std::string& name,
                                uint64_t revision,
                                const std::string& spec) {
    return R"({"meta":{"name":")" + name + R"(","revision":)" +
           std::to_string(revision) +
           R"(,"created":9,"finalizers":[],"deleting":false},"spec":)" + spec +
           R"(,"status":null})";
  }

  std::string EventsAfter(const std::string& kind, uint64_t from) const {
    std::string text;
    for (const Event& event : m_events) {
      if (event.at > Clock::now() - m_watch_age) {
        break;
      }
      if (event.kind != kind || event.revision <= from) {
        continue;
      }
      text += text.empty() ? "" : ",";
      text += std::string(R"({"deleted":)") +
              (event.is_deleted ? "true" : "false") + R"(,"object":)" +
              ObjectText(event.name, event.revision, event.spec) + "}";
    }
    return text;
  }

  void Accept() {
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) {
            return;
          }
          Read(std::make_shared<Session>(std::move(socket)));
          Accept();
        });
  }

  void Read(const SessionPointer& session) {
    boost::asio::async_read_until(
        session->socket, session->input, "\r\n\r\n",
        [this, session](const boost::system::error_code& error, size_t size) {
          if (error) {
            return;
          }
          const auto* begin =
              static_cast<const char*>(session->input.data().data());
          const std::string head(begin, size);
          session->input.consume(size);
          session->timer.expires_after(kAnswerTime);
          session->timer.async_wait(
              [this, session, head](const boost::system::error_code& failure) {
                if (!failure) {
                  Serve(session, head);
                }
              });
        });
  }

  static std::string QueryValue(const std::string& target,
                                const std::string& key) {
    const size_t at = target.find(key + "=");
    if (at == std::string::npos) {
      return "";
    }
    const size_t start = at + key.size() + 1;
    return target.substr(start, target.find('&', start) - start);
  }

  void Serve(const SessionPointer& session, const std::string& head) {
    ++m_calls;
    const size_t start = head.find(' ') + 1;
    const std::string target =
        head.substr(start, head.find(' ', start) - start);
    const std::string prefix = "/-/objects/";
    if (head.rfind("GET ", 0) != 0 || target.rfind(prefix, 0) != 0) {
      return Answer(session, "404 Not Found", "{}");
    }
    const size_t end = target.find_first_of("/?", prefix.size());
    const std::string kind = target.substr(prefix.size(), end - prefix.size());
    const std::string from = QueryValue(target, "watch");
    if (from.empty()) {
      return ServeList(session, kind, QueryValue(target, "serializable"));
    }
    const std::string wait = QueryValue(target, "wait_ms");
    ServeWatch(session, kind, std::stoull(from),
               milliseconds(wait.empty() ? 0 : std::stoll(wait)));
  }

  void ServeList(const SessionPointer& session,
                 const std::string& kind,
                 const std::string& serializable) {
    const Clock::time_point as_of =
        Clock::now() - (serializable == "1" ? m_list_age : milliseconds(0));
    std::map<std::string, Object> objects;
    uint64_t revision = 1;
    for (const Event& event : m_events) {
      if (event.at > as_of) {
        break;
      }
      revision = event.revision;
      if (event.kind == kind && event.is_deleted) {
        objects.erase(event.name);
      } else if (event.kind == kind) {
        objects[event.name] = {event.revision, event.spec};
      }
    }
    std::string items;
    for (const auto& [name, object] : objects) {
      items += items.empty() ? "" : ",";
      items += ObjectText(name, object.revision, object.spec);
    }
    Answer(session, "200 OK",
           R"({"items":[)" + items + R"(],"has_more":false,"at":)" +
               std::to_string(revision) + "}");
  }

  void ServeWatch(const SessionPointer& session,
                  const std::string& kind,
                  uint64_t from,
                  milliseconds wait) {
    const std::string events = EventsAfter(kind, from);
    if (!events.empty() || wait.count() == 0) {
      return AnswerWatch(session, events);
    }
    m_watches.push_back({session, kind, from});
    const auto watch = std::prev(m_watches.end());
    session->timer.expires_after(wait);
    session->timer.async_wait(
        [this, session, watch](const boost::system::error_code& error) {
          if (!error) {
            m_watches.erase(watch);
            AnswerWatch(session, "");
          }
        });
  }

  void AnswerWatch(const SessionPointer& session, const std::string& events) {
    uint64_t revision = 1;
    for (const Event& event : m_events) {
      if (event.at <= Clock::now() - m_watch_age) {
        revision = event.revision;
      }
    }
    Answer(session, "200 OK",
           R"({"events":[)" + events + R"(],"at":)" + std::to_string(revision) +
               "}");
  }

  void Answer(const SessionPointer& session,
              const std::string& status,
              const std::string& body) {
    session->output = "HTTP/1.1 " + status +
                      "\r\nContent-Type: application/json\r\nStore-Era: 1"
                      "\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::async_write(
        session->socket, boost::asio::buffer(session->output),
        [this, session](const boost::system::error_code& error, size_t) {
          if (!error) {
            Read(session);
          }
        });
  }

  boost::asio::io_context* m_context;
  Tcp::acceptor m_acceptor;
  milliseconds m_list_age{0};
  milliseconds m_watch_age{0};
  bool m_is_open = false;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::vector<Event> m_events;
  std::list<Watch> m_watches;
  uint64_t m_revision = 100;
  uint64_t m_calls = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STORE_H_
