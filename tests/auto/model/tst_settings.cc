#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

#include "model/model.h"

namespace poplarsail::model {
namespace {

constexpr char kGood[] =
    "[host]\nname = e1\nfailure_domain = regina\naddress = 127.0.0.1\n"
    "[objects]\nendpoint = 127.0.0.1:8001\n";

struct BadCase {
  std::string text;
  std::string expected;
};

TEST_CASE("settings with required keys only take the defaults") {
  const Settings settings = ParseSettings(kGood, "host.ini");
  CHECK(settings.host_name == "e1");
  CHECK(settings.packet_port == 6080);
  CHECK(settings.announce_ms == 2500);
}

TEST_CASE("bad settings name file, key and reason") {
  const std::vector<BadCase> cases = {
      {"[host]\nname = e1\n", "host.failure_domain"},
      {std::string(kGood) + "[packets]\nport = 70000\n",
       "host.ini: key \"packets.port\": \"70000\" is not a whole number from "
       "1 to 65535"},
      {std::string(kGood) + "[packets]\nprot = 1\n", "is not a known key"},
      {std::string(kGood) + "[packets]\nport = 12x\n", "packets.port"},
      {std::string(kGood) + "[stop]\ngrace_ms = -1\n", "stop.grace_ms"},
      {"port = 1\n", "outside any known section"},
      {"[host\n", "line 1"},
      {"[host]\nname = e1\nfailure_domain = a\naddress = nowhere\n"
       "[objects]\nendpoint = 127.0.0.1:8001\n",
       "is not an IP address"},
      {"[host]\nname = e1\nfailure_domain = a\naddress = 127.0.0.1\n"
       "[objects]\nendpoint = 127.0.0.1\n",
       "objects.endpoint"},
  };
  for (const BadCase& item : cases) {
    INFO(item.text);
    CHECK_THROWS_WITH(ParseSettings(item.text, "host.ini"),
                      Catch::Contains(item.expected));
  }
}

std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(std::string(POPLARSAIL_SOURCE_DIR) + "/" + path);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST_CASE("the reference page lists every key with its default and meaning") {
  const std::string page = ReadSourceFile("docs/settings.md");
  for (const SettingKey& key : SettingKeys()) {
    const std::string name = "`" + key.section + "." + key.name + "`";
    const size_t row = page.find("| " + name + " |");
    INFO(name);
    REQUIRE(row != std::string::npos);
    const std::string line = page.substr(row, page.find('\n', row) - row);
    CHECK_THAT(line, Catch::Contains(key.description));
    CHECK_THAT(line, Catch::Contains(key.default_value.empty() ? "required"
                                                          : key.default_value));
  }
}

TEST_CASE("the example file is good and names every key") {
  const std::string example = ReadSourceFile("share/poplarsail/host.ini");
  CHECK_NOTHROW(ParseSettings(example, "host.ini"));
  for (const SettingKey& key : SettingKeys()) {
    CHECK_THAT(example, Catch::Contains("\n" + key.name + " = "));
  }
}

}  // namespace
}  // namespace poplarsail::model
