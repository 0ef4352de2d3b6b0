// All settings are validated, and every error is reported.
#include "../src/setting_base.h"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "../src/table/gate_settings.h"
#include "../src/table/placer_settings.h"

namespace bw::test {
namespace {

std::vector<SettingError> ErrorsOf(const std::string& text,
                                   const Overrides& overrides = {}) {
  char name[] = "/tmp/bwsettings-XXXXXX";
  close(mkstemp(name));
  std::ofstream(name) << text;
  std::vector<SettingError> errors;
  Settings::Load(name, table::kGateSettings, overrides, &errors);
  std::remove(name);
  return errors;
}

constexpr const char* kGood =
    "[instance]\nname=e0\nzone=a\n[platform]\nlog=http://127.0.0.1:1\n"
    "[gate]\nlisten=127.0.0.1:2\n[status]\nlisten=127.0.0.1:3\n";

}  // namespace

TEST_GROUP(Setting){};

TEST(Setting, GoodFileHasNoFaults) {
  LONGS_EQUAL(0, ErrorsOf(kGood).size());
}

TEST(Setting, EveryFaultIsNamedWithSectionKeyAndRange) {
  const auto errors = ErrorsOf(
      "[instance]\nname=e 0\nzone=a\n[platform]\nlog=ftp://x\n"
      "[gate]\nlisten=nowhere\nmax_open=-1\nmax_run_ms=99999999999999999999\n"
      "colour=red\nmax_body_bytes=2048\nmax_body_bytes=4096\n"
      "[status]\nlisten=127.0.0.1:70000\n");
  LONGS_EQUAL(8, errors.size());
  bool range_named = false;
  for (const auto& it : errors) {
    CHECK(!it.section.empty() && !it.key.empty() && !it.problem.empty());
    range_named |= it.problem.find("from 1 to 1000000") != std::string::npos;
  }
  CHECK(range_named);
}

TEST(Setting, MissingSettingsAndBadOverridesAreFaults) {
  LONGS_EQUAL(5, ErrorsOf("").size());
  LONGS_EQUAL(1, ErrorsOf(kGood, {"gate.nothing=1"}).size());
  LONGS_EQUAL(1, ErrorsOf(kGood, {"gate.max_open=x"}).size());
  LONGS_EQUAL(0, ErrorsOf(kGood, {"gate.max_open=7"}).size());
}

// An instance did not start under a platform that lacks a field of the
// template.
TEST(Setting, PlaceholderThatWasNotFilledInSelectsTheDefault) {
  LONGS_EQUAL(0, ErrorsOf(std::string(kGood) +
                          "[gate]\nmax_open = {{limits.maxOpen}}\n")
                     .size());
  // A required setting has no default.
  LONGS_EQUAL(1, ErrorsOf("[instance]\nname={{nodeName}}\nzone=a\n[platform]\n"
                          "log=http://127.0.0.1:1\n[gate]\nlisten=127.0.0.1:2\n"
                          "[status]\nlisten=127.0.0.1:3\n")
                     .size());
}

TEST(Setting, HelpDescribesEverySetting) {
  const std::string help = SettingsHelp(table::kPlacerSettings);
  for (const auto& it : table::kPlacerSettings) {
    CHECK(help.find(std::string("[") + it.section + "] " + it.key) !=
          std::string::npos);
  }
}

}  // namespace bw::test
