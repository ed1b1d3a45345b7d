#include "bramleypath/controller/MembershipPlan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace bramleypath::controller {

namespace {

using consensus::Membership;
using consensus::ReplicaId;

KnownHost MakeHost(const char* aHost, const char* aDataCentre, bool aAlive,
                   const char* aIdentity = "initial") {
  KnownHost host;
  host.host = HostId(aHost);
  host.identity = ReplicaId(std::string(aHost) + "/" + aIdentity);
  host.dataCentre = DataCentreId(aDataCentre);
  host.alive = aAlive;
  host.announced = true;
  return host;
}

// A member that acknowledges Raft messages and has not announced itself to this
// leader.
KnownHost MakeUnannouncedMember(const char* aHost, const char* aDataCentre) {
  KnownHost host = MakeHost(aHost, aDataCentre, true);
  host.announced = false;
  return host;
}

Membership MakeMembership(const std::vector<const char*>& aVoters,
                          const std::vector<const char*>& aLearners) {
  Membership membership;
  for (const char* voter : aVoters) {
    membership.voters.emplace_back(voter);
  }
  for (const char* learner : aLearners) {
    membership.learners.emplace_back(learner);
  }
  return membership;
}

struct PlanCase {
  const char* name;
  Membership membership;
  std::vector<KnownHost> hosts;
  std::uint32_t tolerated;
  const char* expected;  // "step replica"; empty: no change
};

const PlanCase kPlans[] = {
    {"a complete membership stays",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true)},
     1,
     ""},
    {"a new host becomes a learner",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true), MakeHost("4", "d", true)},
     1,
     "add 4/initial"},
    {"a spare host stays a learner",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {"4/initial"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true), MakeHost("4", "d", true)},
     1,
     ""},
    {"a successor is promoted before the lost voter leaves",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {"4/initial"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", false), MakeHost("4", "d", true)},
     1,
     "promote 4/initial"},
    {"the lost voter leaves once enough are alive",
     MakeMembership({"1/initial", "2/initial", "3/initial", "4/initial"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", false), MakeHost("4", "d", true)},
     1,
     "remove 3/initial"},
    {"a lost voter stays while no learner can replace it",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", false)},
     1,
     ""},
    {"a wiped host joins under its new identity",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true, "new")},
     1,
     "add 3/new"},
    {"a wiped voter leaves before its successor is promoted",
     MakeMembership({"1/initial", "2/initial", "3/initial"}, {"3/new"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true, "new")},
     1,
     "remove 3/initial"},
    {"the successor of a wiped voter is promoted",
     MakeMembership({"1/initial", "2/initial"}, {"3/new"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true, "new")},
     1,
     "promote 3/new"},
    {"a silent voter stays although another one was wiped",
     MakeMembership(
         {"1/initial", "2/initial", "3/initial", "4/initial", "5/initial"},
         {"3/new"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", false),
      MakeHost("3", "c", true, "new"), MakeHost("4", "d", true),
      MakeHost("5", "e", true)},
     2,
     "remove 3/initial"},
    {"the identity of a wiped voter leaves",
     MakeMembership({"1/initial", "2/initial", "3/initial", "3/new"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true, "new")},
     1,
     "remove 3/initial"},
    {"the identity of a wiped learner leaves",
     MakeMembership({"1/initial", "2/initial", "3/initial"},
                    {"4/initial", "4/new"}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true), MakeHost("4", "d", true, "new")},
     1,
     "remove 4/initial"},
    {"a new identity is not removed because of the lost one",
     MakeMembership({"1/initial", "2/initial", "3/new"}, {}),
     {MakeHost("1", "a", true), MakeHost("2", "b", true),
      MakeHost("3", "c", true, "new"), MakeUnannouncedMember("3", "c")},
     1,
     ""},
    {"voters are spread over data centres",
     MakeMembership({"1/initial", "2/initial", "3/initial"},
                    {"4/initial", "5/initial"}),
     {MakeHost("1", "a", true), MakeHost("2", "a", true),
      MakeHost("3", "b", true), MakeHost("4", "a", true),
      MakeHost("5", "c", true)},
     2,
     "promote 5/initial"},
};

std::string ToText(const std::optional<MembershipChange>& aChange) {
  if (!aChange) {
    return "";
  }
  const char* const steps[] = {"add ", "promote ", "remove "};
  return steps[static_cast<int>(aChange->step)] + aChange->replica.value;
}

}  // namespace

class MembershipPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipPlanTest);
  CPPUNIT_TEST(testPlans);
  CPPUNIT_TEST(testAnnouncementOfAnEarlierLeadership);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A host that leads for the second time still has announcements of its first
  // leadership. Guards against removing a voter that lost its disk in between
  // and has joined again, because of the identity that it had before.
  void testAnnouncementOfAnEarlierLeadership() {
    const TimePoint leadingSince{5000 * 1000};
    CPPUNIT_ASSERT(!IsCurrentIdentity(TimePoint{4999 * 1000}, leadingSince));
    CPPUNIT_ASSERT(IsCurrentIdentity(TimePoint{5001 * 1000}, leadingSince));
    KnownHost former = MakeHost("3", "c", true);
    former.announced = IsCurrentIdentity(TimePoint{1000 * 1000}, leadingSince);
    const std::vector<KnownHost> hosts = {MakeHost("1", "a", true),
                                          MakeHost("2", "b", true), former};
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        ToText(PlanMembershipChange(
            MakeMembership({"1/initial", "2/initial", "3/new"}, {}), hosts,
            1)));
  }

  void testPlans() {
    for (const PlanCase& one : kPlans) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          one.name, std::string(one.expected),
          ToText(
              PlanMembershipChange(one.membership, one.hosts, one.tolerated)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPlanTest);

}  // namespace bramleypath::controller
