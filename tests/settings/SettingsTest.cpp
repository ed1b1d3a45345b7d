#include "bramleypath/settings/Settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "bramleypath/settings/Deployment.h"

namespace bramleypath::settings {

namespace {

using Json = nlohmann::json;

// Two data centres with two entry hosts each, all with disks.
Json ValidSettings() {
  Json json = Json::parse(R"({
    // Comments are allowed.
    "host": "a1", "data_centre": "a", "has_disk": true,
    "data_folder": "/var/lib/bramleypath",
    "listeners": {"callers": {"address": "10.0.0.1:7100"},
                  "targets": {"address": "10.0.0.1:7101"},
                  "peers": {"address": "10.0.0.1:7102"},
                  "operators": {"address": "10.0.0.1:7103"}},
    "entry_hosts": [],
    "configuration_voters": ["a1", "a2", "b1"],
    "cells": [
      {"data_centre": "a", "voters": ["a1", "a2"], "witnesses": ["b1"]},
      {"data_centre": "b", "voters": ["b1", "b2"], "witnesses": ["a1"]}]
  })",
                          nullptr, true, true);
  int number = 0;
  for (const char* const host : {"a1", "a2", "b1", "b2"}) {
    json["entry_hosts"].push_back(
        {{"host", host},
         {"data_centre", std::string(host, 1)},
         {"peer_address", "10.0.0." + std::to_string(++number) + ":7102"},
         {"has_disk", true}});
  }
  return json;
}

// One modification of the valid settings and the fault that it must cause.
struct Row {
  const char* pointer;
  Json value;
  const char* path;
  const char* reason;  // a substring of the fault's reason
  Severity severity = Severity::Error;
};

std::string ListFaults(const Report& aReport) {
  std::string text;
  for (const Fault& fault : aReport.faults) {
    text += "\n" + ToString(fault);
  }
  return text;
}

bool HasFault(const Report& aReport, const Row& aRow) {
  for (const Fault& fault : aReport.faults) {
    if (fault.severity == aRow.severity && fault.path == aRow.path &&
        fault.file == "f.json" &&
        fault.reason.find(aRow.reason) != std::string::npos) {
      return true;
    }
  }
  return false;
}

void CheckRow(const Row& aRow) {
  Json json = ValidSettings();
  json[Json::json_pointer(aRow.pointer)] = aRow.value;
  Report report;
  const auto settings = ParseSettings(json.dump(), "f.json", report);
  const std::string label =
      std::string(aRow.pointer) + ":" + ListFaults(report);
  CPPUNIT_ASSERT_MESSAGE(label, HasFault(report, aRow));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(label, aRow.severity == Severity::Warning,
                               settings.has_value());
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(testValidSettingsAndDefaults);
  CPPUNIT_TEST(testSchemaFaults);
  CPPUNIT_TEST(testConsistencyFaults);
  CPPUNIT_TEST(testQuorumLayout);
  CPPUNIT_TEST(testAllFaultsAtOnce);
  CPPUNIT_TEST(testUnreadableTexts);
  CPPUNIT_TEST(testFilesThatDontFitTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against defaults that differ from those that the schema states.
  void testValidSettingsAndDefaults() {
    Report report;
    const auto settings =
        ParseSettings(ValidSettings().dump(), "f.json", report);
    CPPUNIT_ASSERT_MESSAGE(ListFaults(report), settings.has_value());
    const Json schema = Json::parse(SettingsSchema());
    const auto millis = [&](const char* aName) {
      return schema["properties"]["timings"]["properties"][aName]["default"]
          .get<std::int64_t>();
    };
    const Timings& timings = settings->timings;
    CPPUNIT_ASSERT_EQUAL(millis("heartbeat_ms"), ToMillis(timings.heartbeat));
    CPPUNIT_ASSERT_EQUAL(millis("election_min_ms"),
                         ToMillis(timings.electionMin));
    CPPUNIT_ASSERT_EQUAL(millis("election_max_ms"),
                         ToMillis(timings.electionMax));
    CPPUNIT_ASSERT_EQUAL(millis("leader_lease_ms"),
                         ToMillis(timings.leaderLease));
    CPPUNIT_ASSERT_EQUAL(millis("digest_every_ms"),
                         ToMillis(timings.digestEvery));
    CPPUNIT_ASSERT_EQUAL(millis("load_balancer_delay_ms"),
                         ToMillis(timings.loadBalancerDelay));
    CPPUNIT_ASSERT_EQUAL(millis("drain_deadline_ms"),
                         ToMillis(timings.drainDeadline));
    const Json listeners = schema["properties"]["listeners"]["properties"];
    const auto check = [&](const char* aName, const char* aBytes,
                           const Listener& aListener) {
      const Json properties = listeners[aName]["properties"];
      CPPUNIT_ASSERT_EQUAL(
          properties["max_connections"]["default"].get<std::uint32_t>(),
          aListener.maxConnections);
      CPPUNIT_ASSERT_EQUAL(properties[aBytes]["default"].get<std::uint64_t>(),
                           aListener.maxBodyBytes);
    };
    check("callers", "max_body_bytes", settings->listeners.callers);
    check("targets", "max_body_bytes", settings->listeners.targets);
    check("peers", "max_message_bytes", settings->listeners.peers);
    check("operators", "max_body_bytes", settings->listeners.operators);
    const Json logging = schema["properties"]["logging"]["properties"];
    CPPUNIT_ASSERT_EQUAL(
        logging["max_file_bytes"]["default"].get<std::uint64_t>(),
        settings->logging.maxFileBytes);
    CPPUNIT_ASSERT_EQUAL(logging["kept_files"]["default"].get<std::uint32_t>(),
                         settings->logging.keptFiles);
  }

  // Guards against mistyped keys and values that are ignored silently.
  void testSchemaFaults() {
    const Row rows[] = {
        {"/hosst", 1, "hosst", "did you mean \"host\"?"},
        {"/timings/hartbeat_ms", 1, "timings.hartbeat_ms", "heartbeat_ms"},
        {"/entry_hosts/1/disk", true, "entry_hosts[1].disk", "unknown key"},
        {"/cells/0/zzzzzzzzzz", 1, "cells[0].zzzzzzzzzz", "the keys here are"},
        {"/timings/heartbeat_ms", "100", "timings.heartbeat_ms",
         "must be of type integer from 10 to 10000"},
        {"/timings/heartbeat_ms", 1, "timings.heartbeat_ms",
         "from 10 to 10000"},
        {"/timings/heartbeat_ms", 100.5, "timings.heartbeat_ms",
         "type integer"},
        {"/logging/level", "loud", "logging.level",
         "must be one of debug, info, warning, error"},
        {"/listeners/callers", Json::object(), "listeners.callers.address",
         "is missing"},
        {"/entry_hosts", Json::array(), "entry_hosts", "with 1 to 64 items"},
        {"/cells/1/voters", Json::array(), "cells[1].voters",
         "with 1 to 9 items"},
        {"/host", "", "host", "with 1 to 128 bytes"},
    };
    for (const Row& row : rows) {
      CheckRow(row);
    }
  }

  // Guards against inconsistent settings that are accepted because they conform
  // to the schema.
  void testConsistencyFaults() {
    const Row rows[] = {
        {"/listeners/callers/address", "localhost:1",
         "listeners.callers.address", "not an IP address"},
        {"/listeners/callers/address", "10.0.0.1", "listeners.callers.address",
         "not an IP address"},
        {"/listeners/callers/address", "10.0.0.1:0",
         "listeners.callers.address", "not an IP address"},
        {"/listeners/callers/address", "0.0.0.0:7100",
         "listeners.callers.address", "not all of them"},
        {"/listeners/targets/address", "10.0.0.1:7100",
         "listeners.targets.address", "same as listeners.callers.address"},
        {"/listeners/peers/max_message_bytes", 1048576,
         "listeners.peers.max_message_bytes", "can be forwarded"},
        {"/listeners/peers/address", "10.0.0.1:7202", "listeners.peers.address",
         "entry_hosts says"},
        {"/host", "c1", "host", "not listed in entry_hosts"},
        {"/data_centre", "b", "data_centre", "entry_hosts says \"a\""},
        {"/has_disk", false, "has_disk", "entry_hosts says true"},
        {"/data_folder", "data", "data_folder", "absolute path"},
        {"/entry_hosts/1/host", "a1", "entry_hosts[1].host", "twice"},
        {"/entry_hosts/1/peer_address", "10.0.0.1:7102",
         "entry_hosts[1].peer_address", "twice"},
        {"/timings/heartbeat_ms", 200, "timings.heartbeat_ms", "third"},
        {"/timings/election_max_ms", 500, "timings.election_max_ms", "above"},
        {"/timings/leader_lease_ms", 460, "timings.leader_lease_ms", "90%"},
        {"/timings/leader_lease_ms", 150, "timings.leader_lease_ms", "twice"},
        {"/timings/drain_deadline_ms", 4000, "timings.drain_deadline_ms",
         "load_balancer_delay_ms"},
        {"/logging/file", "x.log", "logging.file", "absolute"},
    };
    for (const Row& row : rows) {
      CheckRow(row);
    }
  }

  // Guards against a layout in which a cell stops when its data centre is cut
  // off, or whose lack of redundancy isn't reported.
  void testQuorumLayout() {
    constexpr Severity kWarning = Severity::Warning;
    const Row rows[] = {
        {"/configuration_voters",
         {"a1", "zz", "b1"},
         "configuration_voters[1]",
         "not listed"},
        {"/configuration_voters",
         {"a1", "a1", "b1"},
         "configuration_voters[1]",
         "twice"},
        {"/configuration_voters",
         {"a1", "b1"},
         "configuration_voters",
         "fewer than 3",
         kWarning},
        {"/configuration_voters",
         {"a1", "a2", "b1", "b2"},
         "configuration_voters",
         "even number",
         kWarning},
        {"/configuration_voters",
         {"a1", "a2", "b1"},
         "configuration_voters",
         "loss of data centre \"a\"",
         kWarning},
        {"/entry_hosts/1/has_disk", false, "cells[0].voters[1]", "no disk"},
        {"/cells/0/voters",
         {"a1", "b2"},
         "cells[0].voters[1]",
         "list it under witnesses"},
        {"/cells/0/witnesses",
         {"a2"},
         "cells[0].witnesses[0]",
         "list it under voters"},
        {"/cells/0/witnesses",
         {"b1", "b2"},
         "cells[0].witnesses",
         "at most 1 allowed"},
        {"/cells/0/witnesses", Json::array(), "cells[0].witnesses",
         "add 1 witness", kWarning},
        {"/cells/0",
         {{"data_centre", "a"}, {"voters", {"a1"}}},
         "cells[0].voters",
         "no local redundancy",
         kWarning},
        {"/cells/1/data_centre", "a", "cells[1].data_centre", "twice"},
        {"/cells/1/data_centre", "z", "cells[1].data_centre", "no entry host"},
        {"/cells/1/data_centre", "z", "cells", "has entry hosts and no cell"},
    };
    for (const Row& row : rows) {
      CheckRow(row);
    }
    Json json = ValidSettings();
    json["entry_hosts"][2]["has_disk"] = false;
    Report report;
    ParseSettings(json.dump(), "f.json", report);
    CPPUNIT_ASSERT(
        HasFault(report, {"", {}, "entry_hosts", "one disk", kWarning}));
    json["entry_hosts"][3]["has_disk"] = false;
    ParseSettings(json.dump(), "f.json", report);
    CPPUNIT_ASSERT(
        HasFault(report, {"", {}, "entry_hosts", "no entry host with a disk"}));
  }

  // Guards against a check that stops at the first fault, so that each start
  // reports only one of them.
  void testAllFaultsAtOnce() {
    Json json = ValidSettings();
    json["hosst"] = 1;
    json["data_folder"] = "data";
    json["listeners"]["callers"]["address"] = "x";
    json["cells"][0]["witnesses"] = {"b1", "b2"};
    json["timings"]["leader_lease_ms"] = 460;
    Report report;
    CPPUNIT_ASSERT(!ParseSettings(json.dump(), "f.json", report));
    std::size_t errors = 0;
    for (const Fault& fault : report.faults) {
      errors += fault.severity == Severity::Error ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ListFaults(report), std::size_t{5}, errors);
  }

  // Guards against a missing or truncated file that is accepted as if it were
  // complete.
  void testUnreadableTexts() {
    Report report;
    CPPUNIT_ASSERT(!LoadSettings("/nonexistent/settings.json", report));
    CPPUNIT_ASSERT(!ParseSettings("", "f.json", report));
    CPPUNIT_ASSERT(!ParseSettings("{\n\"host\": ,}", "f.json", report));
    CPPUNIT_ASSERT(report.faults.back().reason.find("line 2") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!ParseSettings("[]", "f.json", report));
    CPPUNIT_ASSERT(report.faults.size() >= 4);
  }

  // Guards against a deployment whose hosts start with different layouts.
  void testFilesThatDontFitTogether() {
    Report report;
    const auto first = *ParseSettings(ValidSettings().dump(), "f.json", report);
    NamedSettings same{"a.json", first};
    NamedSettings other{"b.json", first};
    other.settings.cells.pop_back();
    other.settings.timings.heartbeat = Millis(50);
    Report together;
    CheckTogether({same, other}, together);
    const std::string text = ListFaults(together);
    for (const char* const part :
         {"b.json: cells: differs from a.json", "b.json: timings: differs",
          "b.json: host: is the same host", "for host \"b2\""}) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace bramleypath::settings
