#include "app/observe_commands.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "app/commands.h"
#include "app/explain_logs.h"
#include "explain/explain.h"
#include "model/model.h"

namespace poplarsail::app {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

struct HttpReply {
  unsigned status = 0;
  std::string body;
};

model::Endpoint ParseAdminEndpoint(const std::string& text) {
  const auto endpoint = model::ParseEndpoint(text);
  if (!endpoint) {
    throw UsageError(fmt::format(
        "Specify the admin addresses of daemons with --admin IP:PORT; \"{}\" "
        "is not a valid endpoint.",
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
        "Can't connect to the daemon at {}: {}. Check the address and whether "
        "the daemon is running.",
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

// Keyed by the daemon's admin address.
using CountsByDaemon = std::map<std::string, explain::ServiceCounts>;

CountsByDaemon ReadAllCounts(const std::vector<std::string>& daemons) {
  CountsByDaemon counts;
  for (const std::string& text : daemons) {
    counts[text] = explain::ReadServiceCounts(
        HttpGet(ParseAdminEndpoint(text), "/metrics").body);
  }
  return counts;
}

nlohmann::json MakeReport(const CountsByDaemon& before,
                          const CountsByDaemon& after,
                          double objective) {
  nlohmann::json report = nlohmann::json::array();
  for (const auto& [daemon, counts] : after) {
    const auto earlier = before.find(daemon);
    const explain::ServiceCounts window =
        earlier == before.end()
            ? counts
            : explain::CountsBetween(earlier->second, counts);
    report.push_back({{"daemon", daemon},
                      {"answered", window.answered},
                      {"refused", window.failed},
                      {"burn", explain::BurnRate(window, objective)}});
  }
  return report;
}

}  // namespace

void AddExplainOptions(cxxopts::Options* options) {
  options->add_options()("admin", "Admin address of the daemon, IP:PORT",
                         cxxopts::value<std::string>()->default_value(""))(
      "source", "Address of the client, IP:PORT",
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
      ParseAdminEndpoint(arguments["admin"].as<std::string>());
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
      "objective", "Required fraction of answered requests",
      cxxopts::value<double>()->default_value("0.999"))(
      "window", "Seconds to measure; 0 reports all since the daemons' start",
      cxxopts::value<double>()->default_value("0"));
}

int RunReport(const cxxopts::ParseResult& arguments) {
  if (arguments.count("admin") == 0) {
    throw UsageError(
        "Specify the admin addresses of daemons with --admin IP:PORT,...");
  }
  const auto objective = arguments["objective"].as<double>();
  if (objective <= 0 || objective >= 1) {
    throw UsageError("--objective must be above 0 and below 1.");
  }
  const auto daemons = arguments["admin"].as<std::vector<std::string>>();
  const std::chrono::duration<double> window(arguments["window"].as<double>());
  if (window.count() < 0) {
    throw UsageError("--window must not be below 0.");
  }
  CountsByDaemon before;
  if (window.count() > 0) {
    before = ReadAllCounts(daemons);
    std::this_thread::sleep_for(window);
  }
  const nlohmann::json report =
      MakeReport(before, ReadAllCounts(daemons), objective);
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
