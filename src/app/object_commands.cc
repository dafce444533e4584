#include "app/object_commands.h"

#include <cstdlib>
#include <map>
#include <optional>

#include <fmt/format.h>

#include "app/commands.h"
#include "app/resource_file.h"
#include "objects/objects.h"

namespace poplarsail::app {

namespace {

using model::Object;
using model::ObjectKey;

constexpr std::chrono::milliseconds kCallTimeout{5'000};
constexpr int kMaxReadBacks = 3;
constexpr char kApiVariable[] = "POPLARSAIL_API";

objects::HttpObjectStore OpenStore(const cxxopts::ParseResult& arguments) {
  const char* from_environment = std::getenv(kApiVariable);
  std::string text = from_environment == nullptr ? "" : from_environment;
  if (arguments.count("api") > 0) {
    text = arguments["api"].as<std::string>();
  }
  const auto endpoint = model::ParseEndpoint(text);
  if (!endpoint) {
    throw UsageError(fmt::format(
        "Give the object API as --api IP:PORT or in {}; \"{}\" is none.",
        kApiVariable, text));
  }
  return objects::HttpObjectStore(*endpoint, kCallTimeout);
}

std::vector<Object> ReadFileArgument(const cxxopts::ParseResult& arguments) {
  if (arguments.count("file") == 0) {
    throw UsageError("Give the file of resources with --file FILE.");
  }
  return ReadResourceFile(arguments["file"].as<std::string>());
}

std::optional<Object> Find(objects::ObjectStore* store, const ObjectKey& key) {
  try {
    return store->Get(key);
  } catch (const objects::NotFoundError&) {
    return std::nullopt;
  }
}

std::string NameOf(const ObjectKey& key) {
  return key.kind + "/" + key.name;
}

void PrintObjects(const std::vector<Object>& items, bool as_json) {
  if (as_json) {
    nlohmann::json json = nlohmann::json::array();
    for (const Object& object : items) {
      json.push_back(model::ToJson(object));
    }
    fmt::print("{}\n", json.dump(2));
    return;
  }
  fmt::print("{:<32}{:>9}{:>12}  {}\n", "OBJECT", "VERSION", "GENERATION",
             "SPEC");
  for (const Object& object : items) {
    constexpr size_t kMaxSpecWidth = 120;
    fmt::print("{:<32}{:>9}{:>12}  {}\n", NameOf(object.key),
               object.resource_version, object.generation,
               object.spec.dump().substr(0, kMaxSpecWidth));
  }
}

}  // namespace

void AddApiOptions(cxxopts::Options* options) {
  options->add_options()("api",
                         "Object API as IP:PORT (or POPLARSAIL_API in the "
                         "environment)",
                         cxxopts::value<std::string>())(
      "f,file", "File of resources (JSON: one object or a list)",
      cxxopts::value<std::string>());
}

int RunApply(const cxxopts::ParseResult& arguments) {
  const std::vector<Object> wanted = ReadFileArgument(arguments);
  objects::HttpObjectStore store = OpenStore(arguments);
  std::vector<Object> written;
  for (const Object& object : wanted) {
    const std::optional<Object> stored = Find(&store, object.key);
    Object next = object;
    if (stored) {
      next.status = stored->status;
      // A version in the file is what the operator saw; else the newest.
      const bool names_version = object.resource_version != 0;
      next.resource_version =
          names_version ? object.resource_version : stored->resource_version;
    }
    written.push_back(objects::PutWithReadBack(&store, next, kMaxReadBacks));
  }
  PrintObjects(written, WantsJson(arguments));
  return kExitSuccess;
}

int RunDelete(const cxxopts::ParseResult& arguments) {
  const auto names = Positionals(arguments, 2, 2, "a kind and a name");
  objects::HttpObjectStore store = OpenStore(arguments);
  const Object stored = store.Get({names[0], names[1]});
  store.Delete(stored.key, stored.resource_version);
  fmt::print("{} was deleted\n", NameOf(stored.key));
  return kExitSuccess;
}

int RunDiff(const cxxopts::ParseResult& arguments) {
  const std::vector<Object> wanted = ReadFileArgument(arguments);
  objects::HttpObjectStore store = OpenStore(arguments);
  nlohmann::json changes = nlohmann::json::object();
  for (const Object& object : wanted) {
    const std::optional<Object> stored = Find(&store, object.key);
    const nlohmann::json present = stored ? stored->spec : nlohmann::json();
    if (present == object.spec) {
      continue;
    }
    changes[NameOf(object.key)] = {{"stored", present}, {"file", object.spec}};
  }
  if (WantsJson(arguments)) {
    fmt::print("{}\n", changes.dump(2));
    return kExitSuccess;
  }
  for (const auto& item : changes.items()) {
    fmt::print("{}\n  stored: {}\n  file:   {}\n", item.key(),
               item.value()["stored"].dump(), item.value()["file"].dump());
  }
  return kExitSuccess;
}

int RunGet(const cxxopts::ParseResult& arguments) {
  const auto names = Positionals(arguments, 1, 2, "a kind, and a name or none");
  objects::HttpObjectStore store = OpenStore(arguments);
  const bool one = names.size() == 2;
  PrintObjects(one ? std::vector<Object>{store.Get({names[0], names[1]})}
                   : store.List(names[0]).items,
               WantsJson(arguments));
  return kExitSuccess;
}

int RunStatus(const cxxopts::ParseResult& arguments) {
  objects::HttpObjectStore store = OpenStore(arguments);
  const auto plans = store.List(model::kPlanKind);
  const auto hosts = store.List(model::kEntryHostKind);
  std::map<std::string, uint32_t> newest;
  for (const Object& plan : plans.items) {
    newest[plan.key.name] = plan.spec.value("generation", 0U);
  }
  nlohmann::json report = nlohmann::json::array();
  for (const Object& host : hosts.items) {
    const nlohmann::json in_force =
        host.status.value("plans", nlohmann::json::object());
    nlohmann::json lagging = nlohmann::json::array();
    for (const auto& [service, generation] : newest) {
      if (in_force.value(service, 0U) < generation) {
        lagging.push_back(service);
      }
    }
    report.push_back({{"host", host.key.name},
                      {"failureDomain", host.spec.value("failureDomain", "")},
                      {"phase", host.status.value("phase", "unknown")},
                      {"plans", in_force},
                      {"lagging", lagging}});
  }
  if (WantsJson(arguments)) {
    fmt::print("{}\n", report.dump(2));
    return kExitSuccess;
  }
  fmt::print("{:<16}{:<16}{:<10}{:<32}{}\n", "HOST", "DOMAIN", "PHASE",
             "PLANS IN FORCE", "LAGGING");
  for (const nlohmann::json& row : report) {
    fmt::print("{:<16}{:<16}{:<10}{:<32}{}\n", row["host"].get<std::string>(),
               row["failureDomain"].get<std::string>(),
               row["phase"].get<std::string>(), row["plans"].dump(),
               row["lagging"].dump());
  }
  return kExitSuccess;
}

int RunValidate(const cxxopts::ParseResult& arguments) {
  const std::vector<Object> items = ReadFileArgument(arguments);
  fmt::print("{} resources are good\n", items.size());
  return kExitSuccess;
}

int RunWatch(const cxxopts::ParseResult& arguments) {
  objects::HttpObjectStore store = OpenStore(arguments);
  const bool as_json = WantsJson(arguments);
  const auto list = store.List("");
  const auto watch = store.Watch(list.resource_version);
  for (;;) {
    const auto event = watch->Next(model::Now() + std::chrono::hours(1));
    if (!event || event->type == objects::WatchEventType::kBookmark) {
      continue;
    }
    const bool is_deleted = event->type == objects::WatchEventType::kDeleted;
    if (as_json) {
      nlohmann::json line = model::ToJson(event->object);
      line["deleted"] = is_deleted;
      fmt::print("{}\n", line.dump());
    } else {
      fmt::print("{} {} version {}\n", is_deleted ? "deleted" : "written",
                 NameOf(event->object.key), event->object.resource_version);
    }
    std::fflush(stdout);
  }
}

}  // namespace poplarsail::app
