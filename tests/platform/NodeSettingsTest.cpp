#include "platform/NodeSettings.h"

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace bramleypath::platform {

namespace {

const std::string kCompleteFile = R"({ // a comment
  "host": "core-1", "address": "10.0.0.1", "data_centre": "a",
  "data_folder": "/data", "bootstrap": true,
  "seeds": ["10.0.0.1:8166", "10.0.0.2:8166"], "peer_port": 7720,
  "control": "10.0.0.1:8166", "max_lease_ms": 6000, "unknown": {"a": 1}
})";

struct ErrorCase {
  const char* text;
  const char* reason;  // a part of the expected reason
};

constexpr ErrorCase kErrors[] = {
    {"", "is not JSON"},
    {"{\"host\": 1}", "host: must be a string"},
    {"{\"host\": \"h\", \"data_centre\": \"a\"}", "address: is missing"},
    {"{\"host\": \"h\", \"address\": \"i\", \"data_centre\": \"a\"}",
     "seeds: must be a list"},
    {R"({"host": "h", "address": "i", "data_centre": "a", "seeds": ["x"]})",
     "seeds: must be a list"},
    {R"({"host": "h", "address": "i", "data_centre": "a", "seeds": []})",
     "peer_port: is missing"},
};

}  // namespace

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(testCompleteFile);
  CPPUNIT_TEST(testErrorsNameTheKey);
  CPPUNIT_TEST(testLimits);
  CPPUNIT_TEST(testMoveCostsNeedAllTimes);
  CPPUNIT_TEST(testMissingFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->path = "/tmp/node_settings_" + std::to_string(getpid()) + ".json";
  }

  void tearDown() override { std::remove(this->path.c_str()); }

  void testCompleteFile() {
    std::string reason;
    const auto settings = this->Load(kCompleteFile, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, settings.has_value());
    CPPUNIT_ASSERT(settings->bootstrap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, SeedHosts(*settings).size());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{8166}, SeedPort(*settings));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, ToMillis(settings->maxLease));
  }

  // A missing or malformed time must not be taken for a move without cost.
  void testMoveCostsNeedAllTimes() {
    struct MoveCostsCase {
      const char* keys;
      bool areGiven;
    };
    const MoveCostsCase cases[] = {
        {R"("task_stop_limit_ms": 200, "task_restore_ms": 250,)", false},
        {R"("task_stop_limit_ms": 200, "task_restore_ms": 250,
            "checkpoint_interval_s": 0.5,)",
         true},
        {R"("task_stop_limit_ms": "x", "task_restore_ms": 250,
            "checkpoint_interval_s": 0.5,)",
         false},
        {R"("task_stop_limit_ms": 200, "task_restore_ms": -1,
            "checkpoint_interval_s": 0.5,)",
         false},
        {R"("task_stop_limit_ms": 1e300, "task_restore_ms": 250,
            "checkpoint_interval_s": 0.5,)",
         false},
    };
    for (const MoveCostsCase& one : cases) {
      std::string text = kCompleteFile;
      text.insert(text.find('{') + 1, one.keys);
      std::string reason;
      const auto settings = this->Load(text, reason);
      CPPUNIT_ASSERT_MESSAGE(reason, settings.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.keys, one.areGiven,
                                   settings->moveCosts.has_value());
    }
  }

  void testErrorsNameTheKey() {
    for (const ErrorCase& one : kErrors) {
      std::string reason;
      CPPUNIT_ASSERT(!this->Load(one.text, reason));
      CPPUNIT_ASSERT_MESSAGE(reason,
                             reason.find(one.reason) != std::string::npos);
    }
  }

  // Guards against a start that fails, or has no limits, for a malformed limit.
  void testLimits() {
    struct Row {
      const char* memory;
      std::size_t expectedMb;
    };
    const Row rows[] = {{"384", 384},  {"null", 160}, {"\"384\"", 160},
                        {"-1", 160},   {"0", 160},    {"1e300", 160},
                        {"true", 160}, {"63.6", 64}};
    for (const Row& row : rows) {
      const std::string text =
          kCompleteFile.substr(0, kCompleteFile.size() - 1) +
          ", \"file_descriptors\": 400, \"memory_mb\": " + row.memory + "}";
      std::string reason;
      const auto settings = this->Load(text, reason);
      CPPUNIT_ASSERT_MESSAGE(reason, settings.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.memory, row.expectedMb,
                                   settings->memoryMb);
      CPPUNIT_ASSERT_EQUAL(std::size_t{400}, settings->fileDescriptors);
    }
  }

  void testMissingFile() {
    std::string reason;
    CPPUNIT_ASSERT(!LoadNodeSettings("/tmp/no/such/file", reason));
    CPPUNIT_ASSERT(reason.find("can't be read") != std::string::npos);
  }

 private:
  std::optional<NodeSettings> Load(const std::string& aText,
                                   std::string& aReason) {
    std::ofstream(this->path) << aText;
    return LoadNodeSettings(this->path, aReason);
  }

  std::string path;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

}  // namespace bramleypath::platform
