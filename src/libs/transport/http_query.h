#ifndef TRANSPORT_HTTP_QUERY_H_
#define TRANSPORT_HTTP_QUERY_H_

#include <map>
#include <string>

namespace poplarsail::transport {

// Values of a query by key.
using HttpQuery = std::map<std::string, std::string>;

// Splits "a=1&b=2"; items without "=" are skipped.
HttpQuery ParseHttpQuery(const std::string& text);

}  // namespace poplarsail::transport

#endif  // TRANSPORT_HTTP_QUERY_H_
