#include "standins/fake_platform_store.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace poplarsail::standins {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using nlohmann::json;

constexpr std::string_view kObjectsPathPrefix = "/-/objects/";
constexpr std::string_view kPlaceholderPrefix = "spec text ";
// A page with several objects is not larger.
constexpr size_t kMaxPageBytes = 1 << 20;

// The parts of "/-/objects/KIND/NAME?key=value&...".
struct Target {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

Target ParseTarget(std::string text) {
  Target target;
  const size_t question = text.find('?');
  std::string query =
      question == std::string::npos ? "" : text.substr(question + 1);
  text = text.substr(0, question);
  text.erase(0, kObjectsPathPrefix.size());
  const size_t slash = text.find('/');
  target.kind = text.substr(0, slash);
  target.name = slash == std::string::npos ? "" : text.substr(slash + 1);
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string item = query.substr(0, end);
    query.erase(0, std::min(end + 1, query.size()));
    const size_t equals = item.find('=');
    if (equals != std::string::npos) {
      target.query[item.substr(0, equals)] =
          PercentDecode(item.substr(equals + 1));
    }
  }
  return target;
}

}  // namespace

struct FakePlatformStore::Session {
  explicit Session(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)), timer(stream.get_executor()) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
  boost::asio::steady_timer timer;
};

FakePlatformStore::FakePlatformStore(boost::asio::io_context* context,
                                     const model::Endpoint& endpoint)
    : m_context(context),
      m_acceptor(*context, {endpoint.address, endpoint.port}) {
  AcceptNext();
}

model::Endpoint FakePlatformStore::endpoint() const {
  const auto local = m_acceptor.local_endpoint();
  return {local.address(), local.port()};
}

uint64_t FakePlatformStore::Put(const std::string& kind,
                                const std::string& name,
                                const json& spec) {
  if (Contains(kind, name) && Spec(kind, name) == spec) {
    return m_revision;
  }
  RecordUndo(kind, name);
  json& object = m_objects[kind][name];
  ++m_revision;
  object = {{"meta",
             {{"name", name},
              {"revision", m_revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
  m_history.push_back({m_revision, kind, object, false});
  NotifyWatches();
  return m_revision;
}

uint64_t FakePlatformStore::PutText(const std::string& kind,
                                    const std::string& name,
                                    std::string spec) {
  const auto found =
      std::find_if(m_spec_texts.begin(), m_spec_texts.end(),
                   [&spec](const auto& item) { return item.second == spec; });
  if (found != m_spec_texts.end()) {
    return Put(kind, name, found->first);
  }
  const std::string placeholder = std::string(kPlaceholderPrefix) +
                                  std::to_string(m_spec_texts.size()) + ".";
  m_spec_texts[placeholder] = std::move(spec);
  return Put(kind, name, placeholder);
}

std::string FakePlatformStore::InsertSpecTexts(std::string_view body) const {
  const std::string begin = "\"" + std::string(kPlaceholderPrefix);
  std::string inserted;
  size_t copied = 0;
  for (size_t at = body.find(begin); at != std::string_view::npos;
       at = body.find(begin, copied)) {
    const size_t end = body.find('"', at + 1);
    const auto found =
        m_spec_texts.find(std::string(body.substr(at + 1, end - at - 1)));
    inserted += body.substr(copied, at - copied);
    inserted += found == m_spec_texts.end() ? body.substr(at, end + 1 - at)
                                            : found->second;
    copied = end + 1;
  }
  return inserted.append(body.substr(copied));
}

size_t FakePlatformStore::ObjectSize(const json& object) const {
  const json& spec = object.at("spec");
  const auto found = spec.is_string()
                         ? m_spec_texts.find(spec.get<std::string>())
                         : m_spec_texts.end();
  return object.dump().size() +
         (found == m_spec_texts.end() ? 0 : found->second.size());
}

void FakePlatformStore::Remove(const std::string& kind,
                               const std::string& name) {
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end()) {
    return;
  }
  RecordUndo(kind, name);
  ++m_revision;
  json object = found->second;
  object["meta"]["revision"] = m_revision;
  m_objects[kind].erase(found);
  m_history.push_back({m_revision, kind, object, true});
  NotifyWatches();
}

void FakePlatformStore::RecordUndo(const std::string& kind,
                                   const std::string& name) {
  m_undos.push_back({std::chrono::steady_clock::now(), m_revision, kind, name,
                     Contains(kind, name) ? m_objects[kind][name] : json()});
}

void FakePlatformStore::Compact() {
  m_compacted_revision = m_revision;
  m_history.clear();
}

void FakePlatformStore::TakeSnapshot() {
  m_snapshot = {m_objects, m_revision};
}

void FakePlatformStore::Restore() {
  m_objects = m_snapshot.objects;
  m_revision = m_snapshot.revision;
  m_undos.clear();
  m_compacted_revision = m_revision;
  m_history.clear();
  m_watches.clear();
  ++m_era;
  for (const std::weak_ptr<Session>& weak : std::exchange(m_sessions, {})) {
    if (const std::shared_ptr<Session> session = weak.lock()) {
      session->timer.cancel();
      boost::system::error_code ignored;
      session->stream.socket().set_option(
          boost::asio::socket_base::linger(true, 0), ignored);
      session->stream.socket().close(ignored);
    }
  }
}

bool FakePlatformStore::Contains(const std::string& kind,
                                 const std::string& name) const {
  const auto found = m_objects.find(kind);
  return found != m_objects.end() && found->second.contains(name);
}

json FakePlatformStore::Spec(const std::string& kind,
                             const std::string& name) const {
  return m_objects.at(kind).at(name).at("spec");
}

void FakePlatformStore::AcceptNext() {
  m_acceptor.async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (error) {
      return;
    }
    AcceptNext();
    const auto session = std::make_shared<Session>(std::move(socket));
    std::erase_if(m_sessions,
                  [](const auto& other) { return other.expired(); });
    m_sessions.push_back(session);
    ReadNext(session);
  });
}

void FakePlatformStore::ReadNext(const std::shared_ptr<Session>& session) {
  session->request = {};
  http::async_read(session->stream, session->buffer, session->request,
                   [this, session](const beast::error_code& error, size_t) {
                     if (!error) {
                       Serve(session);
                     }
                   });
}

void FakePlatformStore::Serve(const std::shared_ptr<Session>& session) {
  ++m_call_count;
  if (m_on_call) {
    m_on_call(m_call_count);
  }
  const Target target = ParseTarget(std::string(session->request.target()));
  const bool is_read = session->request.method() == http::verb::get;
  switch (m_mode) {
    case StoreMode::kUnavailable:
      return Respond(session, 503, json::object());
    case StoreMode::kThrottled:
      return Respond(session, 429, json::object());
    case StoreMode::kUnresponsive:
      // Keeps the connection open without a response.
      session->timer.expires_after(std::chrono::hours(1));
      return session->timer.async_wait(
          [session](const boost::system::error_code&) {});
    case StoreMode::kReset: {
      boost::system::error_code ignored;
      session->stream.socket().set_option(
          boost::asio::socket_base::linger(true, 0), ignored);
      session->stream.socket().close(ignored);
      return;
    }
    case StoreMode::kServe:
    case StoreMode::kDropResponses:
    case StoreMode::kLateResponses:
      break;
  }
  if (!is_read) {
    return ServeWrite(session, target.kind, target.name);
  }
  if (target.query.contains("watch")) {
    return ServeWatch(session, target.kind,
                      std::stoull(target.query.at("watch")),
                      std::stoull(target.query.at("wait_ms")));
  }
  const auto after = target.query.find("after");
  const auto serializable = target.query.find("serializable");
  const bool may_be_old =
      serializable != target.query.end() && serializable->second == "1";
  ServeList(session, target.kind,
            after == target.query.end() ? "" : after->second,
            may_be_old ? m_list_age : std::chrono::milliseconds(0));
}

void FakePlatformStore::Respond(const std::shared_ptr<Session>& session,
                                unsigned status,
                                const json& body) {
  session->response = {};
  session->response.result(status);
  session->response.keep_alive(session->request.keep_alive());
  session->response.set(http::field::content_type, "application/json");
  if (m_era > 0) {
    session->response.set("Store-Era", std::to_string(m_era));
  }
  session->response.body() = InsertSpecTexts(body.dump());
  session->response.prepare_payload();
  if (m_mode != StoreMode::kLateResponses) {
    return SendResponse(session);
  }
  session->timer.expires_after(kLateResponseDelay);
  session->timer.async_wait(
      [this, session](const boost::system::error_code& error) {
        if (!error) {
          SendResponse(session);
        }
      });
}

void FakePlatformStore::SendResponse(const std::shared_ptr<Session>& session) {
  http::async_write(session->stream, session->response,
                    [this, session](const beast::error_code& error, size_t) {
                      if (!error) {
                        ReadNext(session);
                      }
                    });
}

void FakePlatformStore::ServeList(const std::shared_ptr<Session>& session,
                                  const std::string& kind,
                                  const std::string& after,
                                  std::chrono::milliseconds age) {
  std::map<std::string, json> objects = m_objects[kind];
  uint64_t revision = m_revision;
  const auto as_of = std::chrono::steady_clock::now() - age;
  for (auto undo = m_undos.rbegin();
       undo != m_undos.rend() && undo->changed_at > as_of; ++undo) {
    revision = undo->revision_before;
    if (undo->kind == kind) {
      objects[undo->name] = undo->object;
    }
  }
  std::erase_if(objects,
                [](const auto& item) { return item.second.is_null(); });
  json items = json::array();
  bool has_more = false;
  size_t page_bytes = 0;
  for (const auto& [name, object] : objects) {
    if (!after.empty() && name <= after) {
      continue;
    }
    page_bytes += ObjectSize(object);
    const bool is_full = items.size() == m_page_size ||
                         (!items.empty() && page_bytes > kMaxPageBytes);
    if (is_full) {
      has_more = true;
      break;
    }
    items.push_back(object);
  }
  Respond(session, 200,
          {{"items", items}, {"has_more", has_more}, {"at", revision}});
}

void FakePlatformStore::ServeWatch(const std::shared_ptr<Session>& session,
                                   const std::string& kind,
                                   uint64_t from_revision,
                                   uint64_t wait_ms) {
  if (from_revision < m_compacted_revision || from_revision > m_revision) {
    return Respond(session, 410, json::object());
  }
  const json events = EventsAfter(kind, from_revision);
  if (!events.empty()) {
    return Respond(session, 200, {{"events", events}, {"at", m_revision}});
  }
  const uint64_t number = ++m_watch_count;
  m_watches.push_back({session, kind, from_revision, number});
  session->timer.expires_after(std::chrono::milliseconds(wait_ms));
  session->timer.async_wait(
      [this, session, number](const boost::system::error_code& error) {
        const auto is_same = [number](const Watch& watch) {
          return watch.number == number;
        };
        // A change may have ended the watch since the timer expired.
        if (error || std::erase_if(m_watches, is_same) == 0) {
          return;
        }
        Respond(session, 200, {{"events", json::array()}, {"at", m_revision}});
      });
}

void FakePlatformStore::ServeWrite(const std::shared_ptr<Session>& session,
                                   const std::string& kind,
                                   const std::string& name) {
  const json body = json::parse(session->request.body(), nullptr, false);
  const bool is_create = session->request.method() == http::verb::post;
  const std::string object_name =
      is_create ? body.at("meta").at("name").get<std::string>() : name;
  if (is_create && Contains(kind, object_name)) {
    return Respond(session, 409, m_objects[kind][object_name]);
  }
  if (!is_create && !Contains(kind, object_name)) {
    return Respond(session, 404, json::object());
  }
  if (session->request.method() == http::verb::delete_) {
    Remove(kind, object_name);
  } else {
    Put(kind, object_name, body.at("spec"));
  }
  if (m_mode == StoreMode::kDropResponses) {
    session->timer.expires_after(std::chrono::hours(1));
    return session->timer.async_wait(
        [session](const boost::system::error_code&) {});
  }
  Respond(session, 200, json::object());
}

json FakePlatformStore::EventsAfter(const std::string& kind,
                                    uint64_t from_revision) const {
  json events = json::array();
  for (const Event& event : m_history) {
    if (event.revision > from_revision && event.kind == kind) {
      events.push_back(
          {{"deleted", event.is_deleted}, {"object", event.object}});
    }
  }
  return events;
}

void FakePlatformStore::NotifyWatches() {
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    const json events = EventsAfter(watch->kind, watch->from_revision);
    if (events.empty()) {
      ++watch;
      continue;
    }
    const std::shared_ptr<Session> session = watch->session;
    watch = m_watches.erase(watch);
    session->timer.cancel();
    Respond(session, 200, {{"events", events}, {"at", m_revision}});
  }
}

}  // namespace poplarsail::standins
