#ifndef OBJECTS_HTTP_OBJECT_STORE_H_
#define OBJECTS_HTTP_OBJECT_STORE_H_

#include <chrono>
#include <memory>
#include <string>

#include "objects/object_store.h"

namespace poplarsail::objects {

// Client of the object API over HTTP/1.1:
//   GET    /objects[?kind=K]            {"resourceVersion", "items"}
//   GET    /objects/K/NAME              one object
//   PUT    /objects/K/NAME?expect=V     409 if the stored version is not V
//   DELETE /objects/K/NAME?expect=V
//   GET    /objects?watch=V             chunked body with one event per line:
//                                       {"type", "object"}; 410 if V has been
//                                       compacted
class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(model::Endpoint endpoint,
                  std::chrono::milliseconds call_timeout);
  ~HttpObjectStore() override;

  ObjectList List(const std::string& kind) override;
  Object Get(const ObjectKey& key) override;
  Object Put(const Object& object) override;
  void Delete(const ObjectKey& key, uint64_t expected_version) override;
  std::unique_ptr<ObjectWatch> Watch(uint64_t from_version) override;
  uint64_t call_count() const override { return m_call_count; }

 private:
  struct Response {
    unsigned status = 0;
    std::string body;
  };
  Response SendRequest(const std::string& method,
                       const std::string& target,
                       const std::string& body,
                       bool is_write);

  model::Endpoint m_endpoint;
  std::chrono::milliseconds m_call_timeout;
  uint64_t m_call_count = 0;
};

}  // namespace poplarsail::objects

#endif  // OBJECTS_HTTP_OBJECT_STORE_H_
