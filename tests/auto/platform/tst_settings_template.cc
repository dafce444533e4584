// The settings that the platform renders start a daemon, whatever figures a
// deployment states.
#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>

#include "entry/entry.h"
#include "standins/template_renderer.h"

namespace poplarsail::platform {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

json Fields() {
  return json::parse(R"({
    "node": "front-regina-1", "zone": "regina",
    "listen": {"datagram_addr": "10.1.0.10:8172", "ready": "10.1.0.10:8167",
               "control": "10.1.0.10:8166"},
    "internal_port_range": [7720, 7735],
    "seeds": ["10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"],
    "limits": {"cpu_share": 0.25},
    "bounds": {"stable_window_ms": 4500, "config_apply_ms": 3500,
               "drain_ms": 3600, "evacuate_ms": 5500},
    "platform": {"address": "10.200.1.7:8169"}})");
}

std::string Render(const json& fields) {
  std::ifstream file(std::string(POPLARSAIL_SOURCE_DIR) +
                     "/platform/settings.ini.in");
  REQUIRE(file);
  return standins::RenderTemplate({std::istreambuf_iterator<char>(file), {}},
                                  fields);
}

entry::EntrySettings Parse(const json& fields,
                           entry::SettingWarnings* warnings) {
  return entry::ParseEntrySettings(Render(fields), "settings.conf", warnings);
}

TEST_CASE("The fields of the page's example are parsed without a warning") {
  entry::SettingWarnings warnings;
  const entry::EntrySettings settings = Parse(Fields(), &warnings);
  CHECK(settings.host_name == "front-regina-1");
  CHECK(settings.cpu_thousandths == 250);
  CHECK(settings.failure_report_port == 7720);
  CHECK(settings.seeds.size() == 3);
  CHECK(settings.bounds ==
        entry::CurrencyBounds{4'500ms, 3'500ms, 3'600ms, 5'500ms});
  CHECK(warnings.empty());
}

TEST_CASE("A bound of each kind of value is accepted") {
  struct Bound {
    json value;
    std::chrono::milliseconds used;
    bool has_warning = false;
  };
  const Bound bound = GENERATE(
      Bound{nullptr, 3'000ms}, Bound{3000, 3'000ms}, Bound{3000.0, 3'000ms},
      Bound{2500.5, 2'500ms}, Bound{"3e3", 3'000ms}, Bound{"2.5E+03", 2'500ms},
      Bound{500, 1'000ms, true}, Bound{0.5, 1'000ms, true},
      Bound{1e12, 3'600'000ms, true}, Bound{0, 3'000ms, true},
      Bound{0.0, 3'000ms, true}, Bound{true, 3'000ms, true},
      Bound{false, 3'000ms}, Bound{"", 3'000ms});
  CAPTURE(bound.value);
  json fields = Fields();
  fields["bounds"]["drain_ms"] = bound.value;
  entry::SettingWarnings warnings;
  CHECK(Parse(fields, &warnings).bounds.drain == bound.used);
  if (!bound.has_warning) {
    CHECK(warnings.empty());
    return;
  }
  REQUIRE(warnings.size() == 1);
  CHECK(warnings[0].key == "store.drain_ms");
  CHECK(warnings[0].used == std::to_string(bound.used.count()));
}

TEST_CASE("Each bound may be of each kind of value") {
  const char* name = GENERATE("stable_window_ms", "config_apply_ms", "drain_ms",
                              "evacuate_ms");
  const json value = GENERATE(json(3000.0), json(2500.5), json(500), json(0),
                              json(true), json(false), json());
  json fields = Fields();
  fields["bounds"][name] = value;
  entry::SettingWarnings warnings;
  CHECK_NOTHROW(Parse(fields, &warnings));
}

TEST_CASE("Fields that are absent or empty have their defaults") {
  struct Absent {
    const char* field;
    json value;
  };
  const Absent absent = GENERATE(
      Absent{"bounds", nullptr}, Absent{"bounds", json::object()},
      Absent{"limits", nullptr}, Absent{"limits", json::object()},
      Absent{"internal_port_range", nullptr},
      Absent{"internal_port_range", json::array()}, Absent{"seeds", nullptr},
      Absent{"seeds", json::array()}, Absent{"seeds", json::array({""})});
  CAPTURE(absent.field, absent.value);
  json fields = Fields();
  fields[absent.field] = absent.value;
  entry::SettingWarnings warnings;
  const entry::EntrySettings settings = Parse(fields, &warnings);
  CHECK(warnings.empty());
  const std::string field = absent.field;
  CHECK(settings.seeds.size() == (field == "seeds" ? 0 : 3));
  CHECK(settings.failure_report_port ==
        (field == "internal_port_range" ? 8'173 : 7'720));
  CHECK(settings.cpu_thousandths == (field == "limits" ? 0 : 250));
  CHECK(settings.bounds.drain == (field == "bounds" ? 3'000ms : 3'600ms));
}

TEST_CASE("A processor share is accepted in each notation") {
  struct Share {
    json value;
    uint32_t thousandths;
  };
  const Share share =
      GENERATE(Share{1, 1'000}, Share{1.0, 1'000}, Share{"5.5e-2", 55},
               Share{0, 0}, Share{0.0, 0}, Share{nullptr, 0});
  CAPTURE(share.value);
  json fields = Fields();
  fields["limits"]["cpu_share"] = share.value;
  entry::SettingWarnings warnings;
  CHECK(Parse(fields, &warnings).cpu_thousandths == share.thousandths);
}

}  // namespace
}  // namespace poplarsail::platform
