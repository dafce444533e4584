#include <catch2/catch.hpp>

#include <string>

#include "entry/entry_settings.h"

namespace poplarsail::entry {
namespace {

const std::string kGood = R"([host]
name = front-regina-1
failure_domain = regina
[packets]
endpoint = 10.1.0.10:8172
[readiness]
endpoint = 10.1.0.10:8167
[peers]
endpoint = 10.1.0.10:8166
seeds = 10.1.0.10:8166,10.2.0.40:8166
[store]
endpoint = 10.200.1.7:8169
)";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGood;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("Settings are read, with defaults") {
  const EntrySettings settings = ParseEntrySettings(kGood, "host.ini");
  CHECK(settings.host_name == "front-regina-1");
  CHECK(settings.failure_domain == "regina");
  CHECK(model::ToString(settings.packets) == "10.1.0.10:8172");
  CHECK(settings.caller_port == 8172);
  REQUIRE(settings.seeds.size() == 2);
  CHECK(model::ToString(settings.seeds[1]) == "10.2.0.40:8166");
  CHECK(settings.metrics_port == 9100);
  CHECK(settings.linger == std::chrono::milliseconds(2'500));
}

TEST_CASE("No seeds are needed") {
  const EntrySettings settings = ParseEntrySettings(
      Replaced("seeds = 10.1.0.10:8166,10.2.0.40:8166\n", ""), "host.ini");
  CHECK(settings.seeds.empty());
}

TEST_CASE("Bad settings are refused with file, key and reason") {
  struct BadInput {
    const char* from;
    const char* to;
    const char* key;
  };
  const BadInput input = GENERATE(
      BadInput{"name = front-regina-1\n", "", "host.name"},
      BadInput{"10.1.0.10:8172", "10.1.0.10", "packets.endpoint"},
      BadInput{"10.1.0.10:8167", "10.1.0.10:0", "readiness.endpoint"},
      BadInput{"10.200.1.7:8169", "store.example:80", "store.endpoint"},
      BadInput{"10.2.0.40:8166", "10.2.0.40", "peers.seeds"},
      BadInput{"[store]", "[metrics]\nport = 70000\n[store]", "metrics.port"},
      BadInput{"[store]", "[stop]\nlinger_ms = soon\n[store]",
               "stop.linger_ms"},
      BadInput{"[store]", "[stop]\nlinger = 5\n[store]", "stop.linger"});
  CAPTURE(input.key);
  try {
    ParseEntrySettings(Replaced(input.from, input.to), "host.ini");
    FAIL("accepted");
  } catch (const model::ValidationError& error) {
    CHECK(error.key() == input.key);
    CHECK(std::string(error.what()).find("host.ini") == 0);
  }
}

}  // namespace
}  // namespace poplarsail::entry
