#include "transport/http_query.h"

#include <sstream>

namespace poplarsail::transport {

HttpQuery ParseHttpQuery(const std::string& text) {
  HttpQuery query;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, '&')) {
    const size_t equals = item.find('=');
    if (equals != std::string::npos) {
      query[item.substr(0, equals)] = item.substr(equals + 1);
    }
  }
  return query;
}

}  // namespace poplarsail::transport
