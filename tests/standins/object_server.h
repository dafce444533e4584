#ifndef STANDINS_OBJECT_SERVER_H_
#define STANDINS_OBJECT_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

#include "standins/memory_object_store.h"

namespace poplarsail::standins {

// Serves a MemoryObjectStore over HTTP/1.1; objects/http_object_store.h
// describes the protocol. POST /faults {"down", "loseAnswers"} injects faults.
class ObjectServer {
 public:
  // Port 0 selects a free port.
  ObjectServer(boost::asio::io_context* context,
               const model::Endpoint& endpoint);
  ObjectServer(boost::asio::io_context* context,
               const boost::asio::ip::address& address,
               uint16_t port);
  ~ObjectServer();

  model::Endpoint endpoint() const;
  MemoryObjectStore& store() { return m_store; }

 private:
  struct Session;
  struct Watcher;

  void Accept();
  void Handle(const std::shared_ptr<Session>& session);
  std::string HandleObject(const std::string& method,
                           const std::string& path,
                           uint64_t expected,
                           const std::string& body);
  void StartWatch(const std::shared_ptr<Session>& session, uint64_t version);
  void Broadcast(const objects::WatchEvent& event);

  boost::asio::io_context* m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  MemoryObjectStore m_store;
  std::list<std::shared_ptr<Watcher>> m_watchers;
};

}  // namespace poplarsail::standins

#endif  // STANDINS_OBJECT_SERVER_H_
