#include "bramleypath/storage/DataFolder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/storage/FakeFileSystem.h"

namespace bramleypath::storage {

class DataFolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataFolderTest);
  CPPUNIT_TEST(testEmptiedFolderGetsNewIdentity);
  CPPUNIT_TEST(testBootstrapOnlyOnce);
  CPPUNIT_TEST(testRefusesFoldersOfOthers);
  CPPUNIT_TEST(testInterruptedCreation);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that lost its folder and votes again under the same
  // identity (rule 11).
  void testEmptiedFolderGetsNewIdentity() {
    FakeDiskState disk;
    const auto files = MakeFakeFileSystem(disk);
    const auto first = this->Identity(*files, CreationMode::Bootstrap);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-1/initial"), first.value);
    CPPUNIT_ASSERT(first == this->Identity(*files, CreationMode::Join));
    disk = FakeDiskState{};
    const auto second = this->Identity(*files, CreationMode::Join);
    CPPUNIT_ASSERT(second == this->Identity(*files, CreationMode::Join));
    disk = FakeDiskState{};
    const auto third = this->Identity(*files, CreationMode::Join);
    CPPUNIT_ASSERT(first != second && second != third && first != third);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-1"), HostOf(third).value);
  }

  // Guards against a service that is left configured with bootstrap and would
  // therefore get its initial identity again after it lost its folder.
  void testBootstrapOnlyOnce() {
    FakeDiskState disk;
    const auto files = MakeFakeFileSystem(disk);
    this->Identity(*files, CreationMode::Bootstrap);
    CPPUNIT_ASSERT(this->Refusal(*files, "edge-1", CreationMode::Bootstrap) ==
                   StorageError::AlreadyCreated);
  }

  void testRefusesFoldersOfOthers() {
    FakeDiskState disk;
    const auto files = MakeFakeFileSystem(disk);
    StorageReason reason;
    {
      const auto holder = OpenDataFolder(*files, "data", HostId{"edge-1"},
                                         CreationMode::Join, reason);
      CPPUNIT_ASSERT(holder && holder->created);
      CPPUNIT_ASSERT(this->Refusal(*files, "edge-1", CreationMode::Join) ==
                     StorageError::Locked);
    }
    CPPUNIT_ASSERT(this->Refusal(*files, "edge-2", CreationMode::Join) ==
                   StorageError::OtherHost);
    disk.names.at("data/identity")->bytes.back() ^= 1;
    CPPUNIT_ASSERT(this->Refusal(*files, "edge-1", CreationMode::Join) ==
                   StorageError::Corrupt);
    disk.names.erase("data/identity");
    CPPUNIT_ASSERT(this->Refusal(*files, "edge-1", CreationMode::Join) ==
                   StorageError::IdentityMissing);
  }

  // Guards against a folder that can't be opened, or whose returned identity
  // changes, after a power failure at any operation of its creation.
  void testInterruptedCreation() {
    for (std::uint64_t operations = 0; operations < 20; ++operations) {
      for (std::uint64_t seed = 0; seed < 10; ++seed) {
        FakeDiskState disk;
        const auto files = MakeFakeFileSystem(disk);
        Random random{seed};
        disk.operationsLeft = operations;
        StorageReason reason;
        const auto opened = OpenDataFolder(*files, "data", HostId{"edge-1"},
                                           CreationMode::Join, reason);
        const consensus::ReplicaId known =
            opened ? opened->identity : consensus::ReplicaId{};
        disk.locks.clear();
        CrashDisk(disk, random);
        const auto again = this->Identity(*files, CreationMode::Join);
        CPPUNIT_ASSERT(known.empty() || known == again);
      }
    }
  }

 private:
  consensus::ReplicaId Identity(FileSystem& aFiles,
                                CreationMode aCreationMode) {
    StorageReason reason;
    const auto folder =
        OpenDataFolder(aFiles, "data", HostId{"edge-1"}, aCreationMode, reason);
    CPPUNIT_ASSERT_MESSAGE(ToText(reason), folder.has_value());
    return folder->identity;
  }

  StorageError Refusal(FileSystem& aFiles, const char* aHost,
                       CreationMode aCreationMode) {
    StorageReason reason;
    CPPUNIT_ASSERT(
        !OpenDataFolder(aFiles, "data", HostId{aHost}, aCreationMode, reason));
    return reason.code;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataFolderTest);

}  // namespace bramleypath::storage
