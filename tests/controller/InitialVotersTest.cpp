#include "bramleypath/controller/InitialVoters.h"

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <string>
#include <vector>

#include "bramleypath/controller/ControlGroup.h"

namespace bramleypath::controller {

class InitialVotersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InitialVotersTest);
  CPPUNIT_TEST(testVotersAreReadBack);
  CPPUNIT_TEST(testMissingFile);
  CPPUNIT_TEST(testAnnouncementAndView);
  CPPUNIT_TEST(testMalformedTexts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->folder = (std::filesystem::temp_directory_path() /
                    ("first_members_" + std::to_string(getpid())))
                       .string();
    std::filesystem::create_directory(this->folder);
    this->files = storage::MakePosixFileSystem();
  }

  void tearDown() override { std::filesystem::remove_all(this->folder); }

  // After a restart the settings may name other hosts; the initial voters must
  // still be those of the creation.
  void testVotersAreReadBack() {
    const std::vector<HostId> voters = {HostId("10.0.0.1"), HostId("10.0.0.2")};
    std::string reason;
    CPPUNIT_ASSERT(
        WriteInitialVoters(*this->files, this->folder, voters, reason));
    const auto read = ReadInitialVoters(*this->files, this->folder);
    CPPUNIT_ASSERT(read && *read == voters);
  }

  void testMissingFile() {
    CPPUNIT_ASSERT(!ReadInitialVoters(*this->files, this->folder));
    std::string reason;
    CPPUNIT_ASSERT(
        !WriteInitialVoters(*this->files, this->folder + "/none", {}, reason));
    CPPUNIT_ASSERT(!reason.empty());
  }

  void testAnnouncementAndView() {
    Announcement announcement;
    announcement.host = HostId("10.0.0.1");
    announcement.identity = "10.0.0.1/initial";
    announcement.dataCentre = DataCentreId("a");
    announcement.unixMs = 1234;
    const auto read = DecodeAnnouncement(EncodeAnnouncement(announcement));
    CPPUNIT_ASSERT(read && read->identity == announcement.identity &&
                   read->unixMs == announcement.unixMs);
    const GroupView view{HostId("10.0.0.1"), {HostId("10.0.0.2")}};
    const auto readView = DecodeView(EncodeView(view));
    CPPUNIT_ASSERT(readView && readView->leader == view.leader &&
                   readView->hosts == view.hosts);
  }

  void testMalformedTexts() {
    for (const char* text : {"", "{", "[]", "{\"host\":1}", "null"}) {
      CPPUNIT_ASSERT(!DecodeAnnouncement(text));
      CPPUNIT_ASSERT(!DecodeView(text));
    }
  }

 private:
  std::string folder;
  std::unique_ptr<storage::FileSystem> files;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InitialVotersTest);

}  // namespace bramleypath::controller
