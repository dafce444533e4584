#ifndef TRANSPORT_HTTP_QUERY_H_
#define TRANSPORT_HTTP_QUERY_H_

#include <map>
#include <string>

namespace poplarsail::transport {

// Parameters of a URL query by name.
using HttpQuery = std::map<std::string, std::string>;

// Parses a query such as "a=1&b=2". Items without "=" are ignored.
HttpQuery ParseHttpQuery(const std::string& text);

}  // namespace poplarsail::transport

#endif  // TRANSPORT_HTTP_QUERY_H_
