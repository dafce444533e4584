#include "model/endpoint.h"

#include <charconv>

#include <fmt/format.h>

namespace poplarsail::model {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  // The address parser reads up to a null character.
  if (colon == std::string_view::npos ||
      text.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* port_end = port_text.data() + port_text.size();
  const auto [end, parse_error] =
      std::from_chars(port_text.data(), port_end, port);
  if (parse_error != std::errc() || end != port_end || port == 0) {
    return std::nullopt;
  }
  boost::system::error_code address_error;
  const auto address =
      boost::asio::ip::make_address(std::string(host), address_error);
  if (address_error || address.is_v6() != bracketed) {
    return std::nullopt;
  }
  return Endpoint{address, port};
}

std::string ToString(const Endpoint& endpoint) {
  const std::string host = endpoint.address.to_string();
  if (endpoint.address.is_v6()) {
    return fmt::format("[{}]:{}", host, endpoint.port);
  }
  return fmt::format("{}:{}", host, endpoint.port);
}

}  // namespace poplarsail::model
