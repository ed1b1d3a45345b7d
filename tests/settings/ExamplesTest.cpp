#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "bramleypath/config/Codec.h"
#include "bramleypath/settings/Deployment.h"

namespace bramleypath::settings {

class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(testExamplesLoadAndFitTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against example files that the settings and configuration checks
  // reject.
  void testExamplesLoadAndFitTogether() {
    for (const char* const name : {"harit-angan", "cairnmuir"}) {
      const std::filesystem::path folder =
          std::filesystem::path(BRAMLEYPATH_SOURCE_DIR) / "examples" / name;
      const std::string first = (folder / "configuration.json").string();
      std::vector<NamedSettings> all;
      Report report;
      for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".json" || file.path() == first) {
          continue;
        }
        auto settings = LoadSettings(file.path().string(), report);
        if (settings) {
          CPPUNIT_ASSERT_EQUAL(file.path().stem().string(),
                               settings->host.value);
          all.push_back({file.path().string(), *std::move(settings)});
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{9}, all.size());
      CheckTogether(all, report);
      const auto configuration = Read(first);
      CheckConfiguration(configuration, first, all, report);
      for (const Fault& fault : report.faults) {
        CPPUNIT_FAIL(ToString(fault));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, configuration.presets.size());
    }
  }

 private:
  static config::Configuration Read(const std::string& aFile) {
    std::ifstream stream(aFile);
    const std::string text{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
    config::JsonReason reason;
    const auto configuration = config::ConfigurationFromJson(text, reason);
    CPPUNIT_ASSERT_MESSAGE(aFile + ": " + reason.field + ": " + reason.detail,
                           configuration.has_value());
    const config::Outcome outcome = config::CheckConfiguration(*configuration);
    CPPUNIT_ASSERT_MESSAGE(outcome.field + ": " + outcome.detail,
                           outcome.accepted);
    return *configuration;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace bramleypath::settings
