#include "app/observe_commands.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "app/commands.h"
#include "app/explain_logs.h"
#include "model/model.h"

namespace poplarsail::app {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

struct HttpReply {
  unsigned status = 0;
  std::string body;
};

model::Endpoint ParseAdmin(const std::string& text) {
  const auto endpoint = model::ParseEndpoint(text);
  if (!endpoint) {
    throw UsageError(fmt::format(
        "Give daemons' admin addresses as --admin IP:PORT; \"{}\" is none.",
        text));
  }
  return *endpoint;
}

HttpReply HttpGet(const model::Endpoint& endpoint, const std::string& target) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  beast::error_code error;
  socket.connect({endpoint.address, endpoint.port}, error);
  if (error) {
    throw std::runtime_error(fmt::format(
        "The daemon at {} can't be reached: {}. Check the address and that it "
        "runs.",
        model::ToString(endpoint), error.message()));
  }
  http::request<http::empty_body> request{http::verb::get, target, 11};
  request.set(http::field::host, model::ToString(endpoint));
  http::write(socket, request);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(socket, buffer, response);
  return {response.result_int(), response.body()};
}

// Reads `name{label="value"} count` lines of one metric.
std::map<std::string, double> ReadCounters(const std::string& text,
                                           const std::string& name) {
  std::map<std::string, double> values;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name + "{")) {
      continue;
    }
    const size_t open = line.find('"');
    const size_t close = line.find('"', open + 1);
    const size_t space = line.find("} ", close);
    values[line.substr(open + 1, close - open - 1)] =
        std::stod(line.substr(space + 2));
  }
  return values;
}

}  // namespace

void AddExplainOptions(cxxopts::Options* options) {
  options->add_options()("admin", "Admin address of the daemon, IP:PORT",
                         cxxopts::value<std::string>()->default_value(""))(
      "source", "Address of the caller, IP:PORT",
      cxxopts::value<std::string>()->default_value(""))(
      "destination", "Address of the service, IP:PORT",
      cxxopts::value<std::string>()->default_value(""))(
      "protocol", "tcp or udp",
      cxxopts::value<std::string>()->default_value("tcp"));
  AddExplainLogsOptions(options);
}

int RunExplain(const cxxopts::ParseResult& arguments) {
  if (arguments.count("log") > 0) {
    return ExplainLogs(arguments);
  }
  const model::Endpoint admin =
      ParseAdmin(arguments["admin"].as<std::string>());
  const HttpReply reply = HttpGet(
      admin, fmt::format("/explain?source={}&destination={}&protocol={}",
                         arguments["source"].as<std::string>(),
                         arguments["destination"].as<std::string>(),
                         arguments["protocol"].as<std::string>()));
  if (reply.status != 200) {
    throw UsageError(reply.body);
  }
  if (WantsJson(arguments)) {
    fmt::print("{}", reply.body);
    return kExitSuccess;
  }
  const nlohmann::json answer = nlohmann::json::parse(reply.body);
  fmt::print("action: {}\ncause:  {}\ntarget: {}\n", answer.value("action", ""),
             answer.value("cause", ""), answer.value("target", ""));
  return kExitSuccess;
}

void AddReportOptions(cxxopts::Options* options) {
  options->add_options()("admin", "Admin addresses of daemons, IP:PORT,...",
                         cxxopts::value<std::vector<std::string>>())(
      "objective", "Share of requests that must be answered",
      cxxopts::value<double>()->default_value("0.999"));
}

int RunReport(const cxxopts::ParseResult& arguments) {
  if (arguments.count("admin") == 0) {
    throw UsageError("Give daemons' admin addresses with --admin IP:PORT,...");
  }
  const auto objective = arguments["objective"].as<double>();
  if (objective <= 0 || objective >= 1) {
    throw UsageError("--objective must be above 0 and below 1.");
  }
  nlohmann::json report = nlohmann::json::array();
  for (const std::string& text :
       arguments["admin"].as<std::vector<std::string>>()) {
    const HttpReply reply = HttpGet(ParseAdmin(text), "/metrics");
    auto counts = ReadCounters(reply.body, "poplarsail_requests_total");
    const double ended = counts["answered"] + counts["refused"];
    const double failed_share = ended > 0 ? counts["refused"] / ended : 0;
    report.push_back({{"daemon", text},
                      {"answered", counts["answered"]},
                      {"refused", counts["refused"]},
                      {"burn", failed_share / (1 - objective)}});
  }
  if (WantsJson(arguments)) {
    fmt::print("{}\n", report.dump(2));
    return kExitSuccess;
  }
  fmt::print("{:<24}{:>10}{:>10}{:>8}\n", "DAEMON", "ANSWERED", "REFUSED",
             "BURN");
  for (const nlohmann::json& row : report) {
    fmt::print("{:<24}{:>10}{:>10}{:>8.2f}\n", row["daemon"].get<std::string>(),
               row["answered"].get<double>(), row["refused"].get<double>(),
               row["burn"].get<double>());
  }
  return kExitSuccess;
}

}  // namespace poplarsail::app
