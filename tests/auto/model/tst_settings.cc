#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

#include "model/model.h"

namespace poplarsail::model {
namespace {

constexpr char kMinimalSettings[] =
    "[host]\nname = e1\nfailure_domain = regina\naddress = 127.0.0.1\n"
    "[objects]\nendpoint = 127.0.0.1:8001\n";

struct InvalidCase {
  std::string text;
  std::string expected;
};

TEST_CASE("omitted settings take their default values") {
  const Settings settings = ParseSettings(kMinimalSettings, "host.ini");
  CHECK(settings.host_name == "e1");
  CHECK(settings.packet_port == 6080);
  CHECK(settings.announce_ms == 2500);
}

TEST_CASE("errors in settings name the file, the key and the reason") {
  const std::vector<InvalidCase> cases = {
      {"[host]\nname = e1\n", "host.failure_domain"},
      {std::string(kMinimalSettings) + "[packets]\nport = 70000\n",
       "host.ini: key \"packets.port\": \"70000\" is not an integer from 1 to "
       "65535"},
      {std::string(kMinimalSettings) + "[packets]\nprot = 1\n",
       "is not a known key"},
      {std::string(kMinimalSettings) + "[packets]\nport = 12x\n",
       "packets.port"},
      {std::string(kMinimalSettings) + "[stop]\ngrace_ms = -1\n",
       "stop.grace_ms"},
      {"port = 1\n", "outside any known section"},
      {"[host\n", "line 1"},
      {"[host]\nname = e1\nfailure_domain = a\naddress = nowhere\n"
       "[objects]\nendpoint = 127.0.0.1:8001\n",
       "is not an IP address"},
      {"[host]\nname = e1\nfailure_domain = a\naddress = 127.0.0.1\n"
       "[objects]\nendpoint = 127.0.0.1\n",
       "objects.endpoint"},
  };
  for (const InvalidCase& item : cases) {
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

TEST_CASE("docs/settings.md lists every key with its default and description") {
  const std::string page = ReadSourceFile("docs/settings.md");
  for (const SettingKey& key : SettingKeys()) {
    const std::string name = "`" + key.section + "." + key.name + "`";
    const size_t row = page.find("| " + name + " |");
    INFO(name);
    REQUIRE(row != std::string::npos);
    const std::string line = page.substr(row, page.find('\n', row) - row);
    CHECK_THAT(line, Catch::Contains(key.description));
    CHECK_THAT(line,
               Catch::Contains(key.default_value.empty() ? "required"
                                                         : key.default_value));
  }
}

TEST_CASE("the example file is valid and contains every key") {
  const std::string example = ReadSourceFile("share/poplarsail/host.ini");
  CHECK_NOTHROW(ParseSettings(example, "host.ini"));
  for (const SettingKey& key : SettingKeys()) {
    CHECK_THAT(example, Catch::Contains("\n" + key.name + " = "));
  }
}

}  // namespace
}  // namespace poplarsail::model
