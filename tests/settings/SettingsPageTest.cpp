#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings {

namespace {

using Json = nlohmann::json;

// The table rows that the page must have for a part of the schema, in the
// form "| `path` | type | default | range | description |".
void CollectRows(const Json& aSchema, const std::string& aPath,
                 std::set<std::string>& aRows) {
  const Json properties = aSchema.value("properties", Json::object());
  for (const auto& [name, part] : properties.items()) {
    std::string path = aPath;
    path += aPath.empty() ? "" : ".";
    path += name;
    const Json required = aSchema.value("required", Json::array());
    const bool isRequired =
        std::find(required.begin(), required.end(), name) != required.end();
    std::string fallback = isRequired ? "required" : "";
    if (part.contains("default")) {
      fallback = "`" + part["default"].dump() + "`";
    }
    std::string range;
    if (part.contains("minimum")) {
      range = part["minimum"].dump() + " to " + part["maximum"].dump();
    }
    for (const Json& value : part.value("enum", Json::array())) {
      range += (range.empty() ? "" : ", ") + value.get<std::string>();
    }
    std::string row = "|";
    for (const std::string& cell :
         {"`" + path + "`", part["type"].get<std::string>(), fallback, range,
          part["description"].get<std::string>()}) {
      row += " ";
      row += cell;
      row += " |";
    }
    aRows.insert(row);
    CollectRows(part, path, aRows);
    if (part.contains("items")) {
      CollectRows(part["items"], path + "[]", aRows);
    }
  }
}

}  // namespace

class SettingsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsPageTest);
  CPPUNIT_TEST(testPageDescribesEachKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a page that lacks a key, or states another default.
  void testPageDescribesEachKey() {
    std::set<std::string> expected;
    CollectRows(Json::parse(SettingsSchema()), "", expected);
    std::ifstream page(BRAMLEYPATH_SOURCE_DIR "/docs/settings.md");
    std::string line;
    std::set<std::string> found;
    while (std::getline(page, line)) {
      if (line.rfind("| `", 0) == 0) {
        found.insert(line);
      }
    }
    for (const std::string& row : expected) {
      CPPUNIT_ASSERT_MESSAGE("missing: " + row, found.count(row) == 1);
    }
    CPPUNIT_ASSERT_EQUAL(expected.size(), found.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsPageTest);

}  // namespace bramleypath::settings
