// Test doubles for the demonstration: the platform's object API, upstreams, and
// a load generator that acts as the fabric and its clients.

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
#include "standins/fake_upstream.h"
#include "standins/flow_load_generator.h"
#include "standins/object_server.h"
#include "standins/request_load_generator.h"

namespace poplarsail::standins {
namespace {

using model::Now;
using model::TimePoint;

constexpr std::chrono::milliseconds kStoreTimeout{1'000};
constexpr std::chrono::milliseconds kHostListInterval{500};
constexpr std::chrono::milliseconds kPollInterval{2};
constexpr std::chrono::milliseconds kCompletionTimeout{5'000};
// The imbalance is computed over the new flows at the end of the run.
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
  options.client_endpoint = EndpointOption(arguments, "callers");
  const FakeUpstream upstream(&context, options);
  RunUntilSignal(&context);
  return 0;
}

// Returns the addresses of the live entry hosts in the object store.
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

// Fetches the ids of the requests that each upstream executed.
std::multiset<std::string> CollectExecutedRequests(
    boost::asio::io_context* context,
    const std::vector<model::Endpoint>& upstreams) {
  std::multiset<std::string> executed;
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
                     [&executed, &open](const transport::Exchange& exchange) {
                       --open;
                       std::istringstream lines(exchange.response.body);
                       for (std::string id; std::getline(lines, id);) {
                         executed.insert(id);
                       }
                     });
  }
  const TimePoint deadline = Now() + kCompletionTimeout;
  while (open > 0 && Now() < deadline) {
    context->run_for(kPollInterval);
  }
  return executed;
}

// Returns the number of requests that ran more than once, over all attempts.
size_t CountExecutedTwice(const std::multiset<std::string>& executed) {
  std::map<std::string, int> runs;
  for (const std::string& id : executed) {
    ++runs[id.substr(0, id.find('.'))];
  }
  return std::count_if(runs.begin(), runs.end(),
                       [](const auto& item) { return item.second > 1; });
}

double ComputeImbalance(const std::map<std::string, uint64_t>& counts) {
  uint64_t total = 0;
  uint64_t max_count = 0;
  for (const auto& [name, count] : counts) {
    total += count;
    max_count = std::max(max_count, count);
  }
  return total == 0 ? 0
                    : static_cast<double>(max_count) * counts.size() /
                          static_cast<double>(total);
}

int RunLoad(const cxxopts::ParseResult& arguments) {
  boost::asio::io_context context;
  objects::HttpObjectStore store(EndpointOption(arguments, "api"),
                                 kStoreTimeout);
  FlowLoadOptions flow_options;
  flow_options.service = EndpointOption(arguments, "service");
  flow_options.client_endpoint = EndpointOption(arguments, "callers");
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
  TimePoint next_host_list = start;
  bool is_balance_measured = false;
  while (Now() < end + kCompletionTimeout) {
    const TimePoint now = Now();
    if (now >= next_host_list) {
      next_host_list = now + kHostListInterval;
      const auto hosts = ReadLiveHosts(&store);
      flows.SetHosts(hosts);
      requests.SetHosts(hosts);
    }
    if (!is_balance_measured && now >= end - kBalanceWindow) {
      is_balance_measured = true;
      flows.ResetNewFlowCounts();
    }
    if (now >= end) {
      flows.StopOpening();
      requests.StopOpening();
    }
    if (now >= end + std::chrono::seconds(1) && requests.open_requests() == 0) {
      break;
    }
    flows.Step(now);
    context.run_for(kPollInterval);
  }
  std::vector<model::Endpoint> upstreams;
  for (const model::Object& object : store.List(model::kUpstreamKind).items) {
    const model::Upstream upstream = model::UpstreamFromObject(object);
    if (upstream.service == request_options.service) {
      upstreams.push_back(upstream.address);
    }
  }
  const auto executed = CollectExecutedRequests(&context, upstreams);
  size_t false_not_run = 0;
  for (const std::string& id : requests.result().reported_not_run) {
    false_not_run += executed.count(id) > 0 ? 1 : 0;
  }
  const nlohmann::json summary = {
      {"flows", flows.result().flows},
      {"broken_flows", flows.result().broken_flows},
      {"packets", flows.result().packets},
      {"requests", requests.result().requests},
      {"answered", requests.result().answered},
      {"refused_not_run", requests.result().refused_not_run},
      {"unknown", requests.result().unknown},
      {"wrong_answers", requests.result().wrong_responses},
      {"run_twice", CountExecutedTwice(executed)},
      {"false_not_run", false_not_run},
      {"imbalance", ComputeImbalance(flows.result().new_flows_by_upstream)}};
  fmt::print("{}\n", summary.dump());
  return 0;
}

int RunCommand(int argc, char** argv) {
  const std::string name = argc < 2 ? "" : argv[1];
  cxxopts::Options options("poplarsail-standins " + name);
  using cxxopts::value;
  options.add_options()("listen", "IP:PORT", value<std::string>())(
      "name", "Name of the upstream", value<std::string>())(
      "callers", "Endpoint that receives responses to packets",
      value<std::string>())("api", "Object API", value<std::string>())(
      "service", "Address of the packet service", value<std::string>())(
      "request-service", "Name of the request service", value<std::string>())(
      "flows", "Initial number of flows",
      value<uint32_t>()->default_value("500"))(
      "new-flows", "New flows per second",
      value<uint32_t>()->default_value("100"))(
      "requests", "Requests per second",
      value<uint32_t>()->default_value("100"))(
      "seconds", "Duration of the run in seconds",
      value<uint32_t>()->default_value("15"));
  const auto arguments = options.parse(argc - 1, argv + 1);
  if (name == "object-api") {
    return RunObjectApi(arguments);
  }
  if (name == "upstream") {
    return RunUpstream(arguments);
  }
  if (name == "field") {
    return RunLoad(arguments);
  }
  fmt::print(
      stderr,
      "Usage: poplarsail-standins object-api|upstream|field [OPTION...]\n");
  return 2;
}

}  // namespace
}  // namespace poplarsail::standins

int main(int argc, char** argv) {
  try {
    return poplarsail::standins::RunCommand(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 1;
  }
}
