#include "bramleypath/workflow/Announcements.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::int64_t kStart = 1700000000000;
constexpr std::int64_t kLaterStart = kStart + 5000;
constexpr std::uint64_t kHugeSequence = 1000000000000;
constexpr Duration kInterval = Millis(1500);
// The true worker is followed again after this many announcements of its own.
constexpr std::uint64_t kFollowedAfter = 3;

enum class Source : std::uint8_t { Worker, OtherWriter };

// An entry of another writer that names a worker of the cell.
struct OddEntry {
  const char* name;
  std::uint64_t sequence;
  std::int64_t startedUnixMs;
  std::string address;
  std::int64_t processorsMilli;
  bool draining;
};

const OddEntry kOddEntries[] = {
    {"a higher sequence", kHugeSequence, kStart, "127.0.0.1:1", 8000, false},
    {"another address", kHugeSequence, kStart, "127.0.0.1:9", 8000, false},
    {"another capacity", kHugeSequence, kStart, "127.0.0.1:1", 1, false},
    {"draining, with a plausible sequence", 5, kStart, "127.0.0.1:1", 8000,
     true},
    {"draining", kHugeSequence, kStart, "127.0.0.1:1", 8000, true},
    {"a later start", 1, kLaterStart, "127.0.0.1:9", 8000, false},
    {"a later start, draining", 1, kLaterStart, "127.0.0.1:9", 8000, true},
    {"a later start and a higher sequence", kHugeSequence, kLaterStart,
     "127.0.0.1:9", 1, true},
};

struct Leader {
  State state;
  Scheduler scheduler;
  TimePoint now{1000 * 1000};
};

Leader MakeLeader() {
  Leader leader;
  Apply(leader.state, SetLayout{MakeLayout(1)});
  SchedulerSettings settings;
  settings.announceInterval = kInterval;
  leader.scheduler =
      MakeScheduler(settings, 1, leader.state, LeaseEnds(), 1, leader.now);
  return leader;
}

// Treats the announcement as Controller::Announce does.
void Announce(Leader& aLeader, const Announcement& aAnnouncement) {
  const auto changed = SpecToCommit(aLeader.scheduler, aLeader.state,
                                    aAnnouncement, aLeader.now);
  if (!changed) {
    return;
  }
  Apply(aLeader.state, RegisterWorker{*changed});
  OnStateChanged(aLeader.scheduler, aLeader.state, aLeader.now);
  OnRegistered(aLeader.scheduler, aLeader.state, aAnnouncement);
}

Announcement TrueAnnouncement(std::uint64_t aSequence) {
  return Announcement{MakeWorker("w", kStart), aSequence, 0};
}

Announcement ToAnnouncement(const OddEntry& aEntry) {
  Announcement odd{MakeWorker("w", aEntry.startedUnixMs), aEntry.sequence, 0};
  odd.worker.address = aEntry.address;
  odd.worker.capacity.processorsMilli = aEntry.processorsMilli;
  odd.worker.draining = aEntry.draining;
  return odd;
}

bool IsFollowed(const Leader& aLeader) {
  const Worker* const known = FindWorker(aLeader.state, "w");
  return known && IsSameSpec(known->spec, MakeWorker("w", kStart));
}

// The worker announces itself aCount times at its interval.
void AnnounceAtIntervals(Leader& aLeader, std::uint64_t& aSequence,
                         std::uint64_t aCount) {
  for (std::uint64_t i = 0; i < aCount; ++i) {
    aLeader.now = aLeader.now + kInterval;
    Announce(aLeader, TrueAnnouncement(++aSequence));
  }
}

}  // namespace

class AnnouncementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementsTest);
  CPPUNIT_TEST(testWorkerIsFollowedAfterAnOddEntry);
  CPPUNIT_TEST(testWorkerIsFollowedAfterAnOddFirstEntry);
  CPPUNIT_TEST(testLateAnnouncementsChangeNothing);
  CPPUNIT_TEST(testLateAnnouncementsOfAnEarlierStartChangeNothing);
  CPPUNIT_TEST(testAnyInterleaving);
  CPPUNIT_TEST(testImplausibleStarts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one entry of another writer after which a worker that goes
  // on to announce itself is never followed again.
  void testWorkerIsFollowedAfterAnOddEntry() {
    for (const OddEntry& one : kOddEntries) {
      Leader leader = MakeLeader();
      std::uint64_t sequence = 0;
      AnnounceAtIntervals(leader, sequence, 4);
      CPPUNIT_ASSERT_MESSAGE(one.name, IsFollowed(leader));
      Announce(leader, ToAnnouncement(one));
      AnnounceAtIntervals(leader, sequence, kFollowedAfter);
      CPPUNIT_ASSERT_MESSAGE(one.name, IsFollowed(leader));
      AnnounceAtIntervals(leader, sequence, 20);
      CPPUNIT_ASSERT_MESSAGE(one.name, IsFollowed(leader));
    }
  }

  void testWorkerIsFollowedAfterAnOddFirstEntry() {
    for (const OddEntry& one : kOddEntries) {
      Leader leader = MakeLeader();
      Announce(leader, ToAnnouncement(one));
      std::uint64_t sequence = 100;
      AnnounceAtIntervals(leader, sequence, kFollowedAfter);
      CPPUNIT_ASSERT_MESSAGE(one.name, IsFollowed(leader));
    }
  }

  // Guards against announcements that a cut link held back: they arrive
  // together, after later ones, and would make a draining worker usable.
  void testLateAnnouncementsChangeNothing() {
    Leader leader = MakeLeader();
    std::uint64_t sequence = 0;
    AnnounceAtIntervals(leader, sequence, 2);
    Announcement draining = TrueAnnouncement(50);
    draining.worker.draining = true;
    Announce(leader, draining);
    for (std::uint64_t late = sequence + 1; late < 50; ++late) {
      leader.now = leader.now + Millis(5);
      Announce(leader, TrueAnnouncement(late));
    }
    CPPUNIT_ASSERT(FindWorker(leader.state, "w")->spec.draining);
  }

  // Guards against a restarted worker that is taken for its earlier process,
  // whose announcements arrive late while the new one announces itself.
  void testLateAnnouncementsOfAnEarlierStartChangeNothing() {
    Leader leader = MakeLeader();
    std::uint64_t sequence = 0;
    AnnounceAtIntervals(leader, sequence, 2);
    Announcement restarted{MakeWorker("w", kLaterStart), 0, 0};
    restarted.worker.capacity.processorsMilli = 4000;
    for (std::uint64_t i = 1; i < 20; ++i) {
      leader.now = leader.now + kInterval;
      restarted.sequence = i;
      Announce(leader, restarted);
      Announce(leader, TrueAnnouncement(++sequence));
      CPPUNIT_ASSERT_EQUAL(
          std::int64_t{4000},
          FindWorker(leader.state, "w")->spec.capacity.processorsMilli);
    }
  }

  // A worker announces itself at its interval. Another writer's entries and
  // repeated or late announcements come at any time before the last few.
  void testAnyInterleaving() {
    const bool passed =
        rc::check("the worker is followed after any odd or late entries", [] {
          Leader leader = MakeLeader();
          std::uint64_t sequence = 0;
          const auto events = *rc::gen::container<std::vector<std::size_t>>(
              rc::gen::inRange<std::size_t>(0, std::size(kOddEntries) + 4));
          for (const std::size_t event : events) {
            if (event < std::size(kOddEntries)) {
              Announce(leader, ToAnnouncement(kOddEntries[event]));
            } else if (event == std::size(kOddEntries) && sequence > 0) {
              Announce(leader, TrueAnnouncement(sequence / 2 + 1));
            } else {
              AnnounceAtIntervals(leader, sequence, 1);
            }
          }
          AnnounceAtIntervals(leader, sequence, kFollowedAfter + 1);
          RC_ASSERT(IsFollowed(leader));
        });
    CPPUNIT_ASSERT(passed);
  }

  void testImplausibleStarts() {
    constexpr std::int64_t kHourMs = 3600000;
    CPPUNIT_ASSERT(IsPlausibleStart(MakeWorker("w", kStart), kStart));
    CPPUNIT_ASSERT(IsPlausibleStart(MakeWorker("w", kStart), kStart - 30000));
    CPPUNIT_ASSERT(IsPlausibleStart(MakeWorker("w", 0), kStart));
    CPPUNIT_ASSERT(
        !IsPlausibleStart(MakeWorker("w", kStart + kHourMs), kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementsTest);

}  // namespace bramleypath::workflow
