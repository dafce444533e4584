// Stand-ins for the demonstration: the platform's object API, upstreams, and
// the fabric with its callers.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <map>
#include <set>
#include <sstream>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "objects/objects.h"
#include "standins/flow_load_generator.h"
#include "standins/request_load_generator.h"
#include "standins/object_server.h"
#include "standins/fake_upstream.h"

namespace poplarsail::standins {
namespace {

using model::Now;
using model::TimePoint;

constexpr std::chrono::milliseconds kStoreTimeout{1'000};
constexpr std::chrono::milliseconds kHostListInterval{500};
constexpr std::chrono::milliseconds kStep{2};
constexpr std::chrono::milliseconds kDrainTime{5'000};
// Imbalance is taken over the new flows of the last part of the run.
constexpr std::chrono::milliseconds kBalanceWindow{4'000};

model::Endpoint EndpointOption(const cxxopts::ParseResult& arguments,
                               const std::string& name) {
  const auto text = arguments[name].as<std::string>();
  const auto endpoint = model::ParseEndpoint(text);
  if (!endpoint) {
    throw std::runtime_error("--" + name + " \"" + text + "\" is not IP:PORT");
  }
  return *endpoint;
}

void RunUntilSignal(boost::asio::io_context* context) {
  boost::asio::signal_set signals(*context, SIGTERM, SIGINT);
  signals.async_wait(
      [context](const boost::system::error_code&, int) { context->stop(); });
  context->run();
}

int RunObjectApi(const cxxopts::ParseResult& arguments) {
  boost::asio::io_context context;
  const ObjectServer server(&context, EndpointOption(arguments, "listen"));
  RunUntilSignal(&context);
  return 0;
}

int RunUpstream(const cxxopts::ParseResult& arguments) {
  boost::asio::io_context context;
  UpstreamOptions options;
  options.name = arguments["name"].as<std::string>();
  options.requests = EndpointOption(arguments, "listen");
  options.callers = EndpointOption(arguments, "callers");
  const FakeUpstream upstream(&context, options);
  RunUntilSignal(&context);
  return 0;
}

// The platform's list of entry hosts, read now and then.
std::vector<boost::asio::ip::address> ReadLiveHosts(
    objects::ObjectStore* store) {
  std::vector<boost::asio::ip::address> hosts;
  for (const model::Object& object : store->List(model::kEntryHostKind).items) {
    const model::EntryHost host = model::EntryHostFromObject(object);
    if (host.phase == model::HostPhase::kLive) {
      hosts.push_back(host.address);
    }
  }
  return hosts;
}

// Asks each upstream which requests it ran.
std::multiset<std::string> CollectRan(
    boost::asio::io_context* context,
    const std::vector<model::Endpoint>& upstreams) {
  std::multiset<std::string> ran;
  size_t open = 0;
  std::vector<std::shared_ptr<transport::Http2Connection>> connections;
  for (const model::Endpoint& upstream : upstreams) {
    boost::asio::ip::tcp::socket socket(*context);
    socket.connect({upstream.address, upstream.port});
    const auto connection =
        transport::Http2Connection::CreateClient(std::move(socket), {});
    connections.push_back(connection);
    connection->Start();
    ++open;
    connection->Send({{{":method", "GET"},
                       {":scheme", "http"},
                       {":authority", "upstream"},
                       {":path", "/ran"}},
                      ""},
                     [&ran, &open](const transport::Exchange& exchange) {
                       --open;
                       std::istringstream lines(exchange.answer.body);
                       for (std::string id; std::getline(lines, id);) {
                         ran.insert(id);
                       }
                     });
  }
  const TimePoint deadline = Now() + kDrainTime;
  while (open > 0 && Now() < deadline) {
    context->run_for(kStep);
  }
  return ran;
}

// The number of requests, whatever their attempt, that ran more than once.
size_t CountRunTwice(const std::multiset<std::string>& ran) {
  std::map<std::string, int> runs;
  for (const std::string& id : ran) {
    ++runs[id.substr(0, id.find('.'))];
  }
  return std::count_if(runs.begin(), runs.end(),
                       [](const auto& item) { return item.second > 1; });
}

double Imbalance(const std::map<std::string, uint64_t>& counts) {
  uint64_t total = 0;
  uint64_t most = 0;
  for (const auto& [name, count] : counts) {
    total += count;
    most = std::max(most, count);
  }
  return total == 0 ? 0
                    : static_cast<double>(most) * counts.size() /
                          static_cast<double>(total);
}

int RunField(const cxxopts::ParseResult& arguments) {
  boost::asio::io_context context;
  objects::HttpObjectStore store(EndpointOption(arguments, "api"),
                                 kStoreTimeout);
  FlowLoadOptions flow_options;
  flow_options.service = EndpointOption(arguments, "service");
  flow_options.callers = EndpointOption(arguments, "callers");
  flow_options.flows_at_start = arguments["flows"].as<uint32_t>();
  flow_options.new_flows_per_second = arguments["new-flows"].as<uint32_t>();
  FlowLoadGenerator flows(flow_options);
  RequestLoadOptions request_options;
  request_options.service = arguments["request-service"].as<std::string>();
  request_options.requests_per_second = arguments["requests"].as<uint32_t>();
  RequestLoadGenerator requests(&context, request_options);
  requests.Start();

  const TimePoint start = Now();
  const TimePoint end =
      start + std::chrono::seconds(arguments["seconds"].as<uint32_t>());
  TimePoint next_list = start;
  bool is_balance_window = false;
  while (Now() < end + kDrainTime) {
    const TimePoint now = Now();
    if (now >= next_list) {
      next_list = now + kHostListInterval;
      const auto hosts = ReadLiveHosts(&store);
      flows.SetHosts(hosts);
      requests.SetHosts(hosts);
    }
    if (!is_balance_window && now >= end - kBalanceWindow) {
      is_balance_window = true;
      flows.ForgetNewFlows();
    }
    if (now >= end) {
      flows.StopOpening();
      requests.StopOpening();
    }
    if (now >= end + std::chrono::seconds(1) && requests.open_requests() == 0) {
      break;
    }
    flows.Step(now);
    context.run_for(kStep);
  }
  std::vector<model::Endpoint> upstreams;
  for (const model::Object& object : store.List(model::kUpstreamKind).items) {
    const model::Upstream upstream = model::UpstreamFromObject(object);
    if (upstream.service == request_options.service) {
      upstreams.push_back(upstream.address);
    }
  }
  const auto ran = CollectRan(&context, upstreams);
  size_t false_not_run = 0;
  for (const std::string& id : requests.result().called_not_run) {
    false_not_run += ran.count(id) > 0 ? 1 : 0;
  }
  const nlohmann::json summary = {
      {"flows", flows.result().flows},
      {"broken_flows", flows.result().broken_flows},
      {"packets", flows.result().packets},
      {"requests", requests.result().requests},
      {"answered", requests.result().answered},
      {"refused_not_run", requests.result().refused_not_run},
      {"unknown", requests.result().unknown},
      {"wrong_answers", requests.result().wrong_answers},
      {"run_twice", CountRunTwice(ran)},
      {"false_not_run", false_not_run},
      {"imbalance", Imbalance(flows.result().new_flows_by_upstream)}};
  fmt::print("{}\n", summary.dump());
  return 0;
}

int RunStandin(int argc, char** argv) {
  const std::string name = argc < 2 ? "" : argv[1];
  cxxopts::Options options("poplarsail-standins " + name);
  using cxxopts::value;
  options.add_options()("listen", "IP:PORT", value<std::string>())(
      "name", "Name of the upstream", value<std::string>())(
      "callers", "Where answers to packets go", value<std::string>())(
      "api", "Object API", value<std::string>())(
      "service", "Address of the packet service", value<std::string>())(
      "request-service", "Name of the request service", value<std::string>())(
      "flows", "Flows at the start", value<uint32_t>()->default_value("500"))(
      "new-flows", "New flows a second",
      value<uint32_t>()->default_value("100"))(
      "requests", "Requests a second", value<uint32_t>()->default_value("100"))(
      "seconds", "Length of the run", value<uint32_t>()->default_value("15"));
  const auto arguments = options.parse(argc - 1, argv + 1);
  if (name == "object-api") {
    return RunObjectApi(arguments);
  }
  if (name == "upstream") {
    return RunUpstream(arguments);
  }
  if (name == "field") {
    return RunField(arguments);
  }
  fmt::print(stderr, "Give one of: object-api, upstream, field.\n");
  return 2;
}

}  // namespace
}  // namespace poplarsail::standins

int main(int argc, char** argv) {
  try {
    return poplarsail::standins::RunStandin(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 1;
  }
}
