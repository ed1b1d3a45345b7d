#include "bramleypath/daemon/Layout.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace bramleypath;
using namespace bramleypath::daemon;

namespace {

// Makes hosts "a1", "a2", "b1", ... with disks. aCounts has the number of hosts
// in each of the data centres "a", "b", ...
EntryHosts MakeHosts(const std::vector<std::size_t>& aCounts) {
  EntryHosts hosts;
  for (std::size_t place = 0; place < aCounts.size(); ++place) {
    const std::string dataCentre(1, static_cast<char>('a' + place));
    for (std::size_t i = 1; i <= aCounts[place]; ++i) {
      config::EntryHost& host = hosts[HostId(dataCentre + std::to_string(i))];
      host.name = HostId(dataCentre + std::to_string(i));
      host.dataCentre = DataCentreId(dataCentre);
      host.hasDisk = true;
    }
  }
  return hosts;
}

std::size_t LocalVoters(const std::vector<HostId>& aVoters,
                        const std::string& aDataCentre) {
  return static_cast<std::size_t>(std::count_if(
      aVoters.begin(), aVoters.end(), [&aDataCentre](const HostId& aHost) {
        return aHost.value.substr(0, 1) == aDataCentre;
      }));
}

// Guards against cell groups whose local hosts lose the majority when their
// data centre is partitioned, and against a configuration group with an even
// number of voters or a majority in one data centre.
class LayoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayoutTest);
  CPPUNIT_TEST(testVotersFollowTheHosts);
  CPPUNIT_TEST(testSettingsNameTheVoters);
  CPPUNIT_TEST(testWarnings);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testVotersFollowTheHosts() {
    const std::vector<std::vector<std::size_t>> layouts{
        {3, 2, 2}, {3, 3, 3}, {2, 2, 2, 1}, {3, 2, 2, 2}, {1, 1, 1},
        {2, 2},    {1},       {3, 1, 1},    {2, 0, 3}};
    const settings::Settings none;
    for (const auto& layout : layouts) {
      const EntryHosts hosts = MakeHosts(layout);
      const auto config = DesiredVoters(none, hosts, kConfigGroup);
      CPPUNIT_ASSERT(config.size() % 2 == 1 && config.size() <= 5);
      for (const DataCentreId& dataCentre : DataCentres(hosts)) {
        const auto cell = DesiredVoters(none, hosts, CellGroup(dataCentre));
        const std::size_t local = LocalVoters(cell, dataCentre.value);
        CPPUNIT_ASSERT(2 * local > cell.size());
        if (hosts.size() >= 5) {
          // No data centre alone has a majority of the configuration group.
          CPPUNIT_ASSERT(DataCentres(hosts).size() < 3 ||
                         2 * LocalVoters(config, dataCentre.value) <
                             config.size());
        }
      }
    }
  }

  void testSettingsNameTheVoters() {
    settings::Settings named;
    EntryHosts hosts = MakeHosts({2, 1, 1});
    for (const auto& [name, host] : hosts) {
      named.entryHosts.push_back({name, host.dataCentre, "", true});
    }
    named.configurationVoters = {HostId("a2"), HostId("b1"), HostId("c1")};
    named.cells.push_back(
        {DataCentreId("a"), {HostId("a1"), HostId("a2")}, {HostId("c1")}});
    CPPUNIT_ASSERT(DesiredVoters(named, hosts, kConfigGroup) ==
                   named.configurationVoters);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         DesiredVoters(named, hosts, "cell-a").size());
    hosts.erase(HostId("a2"));
    const auto changed = DesiredVoters(named, hosts, kConfigGroup);
    CPPUNIT_ASSERT(std::find(changed.begin(), changed.end(), HostId("a2")) ==
                   changed.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changed.size());
  }

  void testWarnings() {
    CPPUNIT_ASSERT(LayoutWarnings(MakeHosts({3, 2, 2})).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         LayoutWarnings(MakeHosts({3, 1, 2})).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, LayoutWarnings(MakeHosts({1})).size());
    EntryHosts hosts = MakeHosts({3, 1});
    hosts[HostId("b1")].hasDisk = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, LayoutWarnings(hosts).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayoutTest);

}  // namespace
