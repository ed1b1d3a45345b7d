#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "bramleypath/base/StateChart.h"

namespace bramleypath {

namespace {

std::string ExpectedPage() {
  std::string page =
      "# State charts\n\n"
      "The charts in `src/bramleypath/charts/` are compiled into the daemon "
      "and\n"
      "interpreted. This page is generated from them: run\n"
      "`UPDATE_CHARTS_PAGE=1 build/tests/base/test_base` after a change. An "
      "event\n"
      "that a state does not list is ignored there.\n";
  for (const std::string_view name : BuiltInChartNames()) {
    page += "\n" + ToMarkdown(LoadBuiltInChart(name));
  }
  return page;
}

}  // namespace

class ChartsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChartsPageTest);
  CPPUNIT_TEST(testPageMatchesTheCharts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a page that doesn't match the current charts.
  void testPageMatchesTheCharts() {
    const std::string path = std::string(SOURCE_FOLDER) + "/docs/charts.md";
    if (std::getenv("UPDATE_CHARTS_PAGE") != nullptr) {
      std::ofstream(path) << ExpectedPage();
    }
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(ExpectedPage(), text.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChartsPageTest);

}  // namespace bramleypath
