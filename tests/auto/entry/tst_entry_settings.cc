#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
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

TEST_CASE("Settings are parsed, with defaults") {
  const EntrySettings settings = ParseEntrySettings(kGood, "host.ini");
  CHECK(settings.host_name == "front-regina-1");
  CHECK(settings.failure_domain == "regina");
  CHECK(model::ToString(settings.packets) == "10.1.0.10:8172");
  CHECK(settings.client_port == 8172);
  REQUIRE(settings.seeds.size() == 2);
  CHECK(model::ToString(settings.seeds[1]) == "10.2.0.40:8166");
  CHECK(settings.metrics_port == 9100);
  CHECK(settings.linger == std::chrono::milliseconds(2'500));
  CHECK(settings.cpu_thousandths == 0);
  CHECK(settings.is_scheduling_enabled);
}

TEST_CASE("Seeds are optional") {
  const EntrySettings settings = ParseEntrySettings(
      Replaced("seeds = 10.1.0.10:8166,10.2.0.40:8166\n", ""), "host.ini");
  CHECK(settings.seeds.empty());
}

TEST_CASE("Capacity and scheduling mode are parsed") {
  const EntrySettings settings =
      ParseEntrySettings(Replaced("[packets]",
                                  "cpu_share = 0.35\n[scheduling]\nmode = off\n"
                                  "[packets]"),
                         "host.ini");
  CHECK(settings.cpu_thousandths == 350);
  CHECK_FALSE(settings.is_scheduling_enabled);
}

TEST_CASE("Invalid settings are rejected with file, key and reason") {
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
      BadInput{"[store]", "[metrics]\nport = 70000\n[store]", "metrics.port"},
      BadInput{"[store]", "[stop]\nlinger_ms = soon\n[store]",
               "stop.linger_ms"},
      BadInput{"[store]", "[stop]\nlinger_ms = -1\n[store]", "stop.linger_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = abc", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = nan", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = inf", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = -0.5", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = -3000", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = 3000 ms", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = 3,000", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = 0x800", "store.drain_ms"},
      BadInput{"[store]", "[store]\ndrain_ms = True", "store.drain_ms"},
      BadInput{"[packets]", "cpu_share = -1\n[packets]", "host.cpu_share"},
      BadInput{"[packets]", "cpu_share = nan\n[packets]", "host.cpu_share"},
      BadInput{"[packets]", "cpu_share = 2 cores\n[packets]", "host.cpu_share"},
      BadInput{"[store]", "[scheduling]\nmode = on\n[store]",
               "scheduling.mode"},
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

TEST_CASE("Seeds that are of no use cost no other ones") {
  struct Seeds {
    const char* text;
    size_t count;
    std::vector<model::SettingWarning> warnings;
  };
  const auto left_out = [](const char* value) {
    return std::vector<model::SettingWarning>{
        {"peers.seeds", value, "the other seeds"}};
  };
  const Seeds seeds =
      GENERATE_COPY(Seeds{"10.1.0.10:8166 , 10.2.0.40:8166", 2, {}},
                    Seeds{"10.1.0.10:8166,,10.2.0.40:8166", 2, {}},
                    Seeds{"10.1.0.10:8166,10.2.0.40:8166,", 2, {}},
                    Seeds{" , ", 0, {}}, Seeds{"", 0, {}}, Seeds{"none", 0, {}},
                    Seeds{"10.1.0.10:8166,10.2.0.40", 1, left_out("10.2.0.40")},
                    Seeds{"10.1.0.10:8166 10.2.0.40:8166,10.3.0.7:8166", 1,
                          left_out("10.1.0.10:8166 10.2.0.40:8166")});
  CAPTURE(seeds.text);
  SettingWarnings warnings;
  const EntrySettings settings =
      ParseEntrySettings(Replaced("10.1.0.10:8166,10.2.0.40:8166", seeds.text),
                         "host.ini", &warnings);
  CHECK(settings.seeds.size() == seeds.count);
  CHECK(warnings == seeds.warnings);
}

TEST_CASE("The time to linger may have a fraction, and may be zero") {
  const auto linger = [](const std::string& text) {
    return ParseEntrySettings(
               Replaced("[store]", "[stop]\nlinger_ms = " + text + "\n[store]"),
               "host.ini")
        .linger;
  };
  CHECK(linger("2500.5") == std::chrono::milliseconds(2'500));
  CHECK(linger("3e3") == std::chrono::milliseconds(3'000));
  CHECK(linger("0") == std::chrono::milliseconds(0));
}

std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(std::string(POPLARSAIL_SOURCE_DIR) + "/" + path);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE(
    "The settings reference lists every key with its default and description") {
  const std::string page = ReadSourceFile("docs/settings.md");
  const std::string part = page.substr(page.find("## `poplarsail serve`"));
  for (const model::SettingKey& key : EntrySettingKeys()) {
    const std::string name = "`" + key.section + "." + key.name + "`";
    INFO(name);
    const size_t row = part.find("| " + name + " |");
    REQUIRE(row != std::string::npos);
    const std::string line = part.substr(row, part.find('\n', row) - row);
    CHECK_THAT(line, Catch::Contains(key.description));
    CHECK_THAT(line,
               Catch::Contains(key.default_value.empty() ? "required"
                                                         : key.default_value));
  }
}

TEST_CASE("The settings template of the platform contains only known keys") {
  std::istringstream lines(ReadSourceFile("platform/settings.ini.in"));
  std::string line;
  std::string section;
  while (std::getline(lines, line)) {
    if (line.starts_with("[")) {
      section = line.substr(1, line.find(']') - 1);
      continue;
    }
    // A key may be enclosed in a conditional section of the template.
    const size_t start = line.starts_with("{{#") ? line.find("}}") + 2 : 0;
    const std::string name = line.substr(start, line.find(" =", start) - start);
    CAPTURE(section, name);
    CHECK(std::any_of(EntrySettingKeys().begin(), EntrySettingKeys().end(),
                      [&](const model::SettingKey& key) {
                        return key.section == section && key.name == name;
                      }));
  }
}

}  // namespace
}  // namespace poplarsail::entry
