#include "bramleypath/cli/Run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bramleypath/cli/CommandTable.h"
#include "bramleypath/config/Codec.h"
#include "tests/config/Samples.h"

namespace bramleypath::cli {

namespace {

using Json = nlohmann::json;

const std::string kFirst = "10.0.0.1:7103";
const std::string kSecond = "10.0.0.2:7103";

std::string ReadText(const std::string& aPath) {
  std::ifstream stream(aPath);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

// How an entry host of FakeDeployment behaves.
enum class Behaviour { Answers, Refuses, LosesReply, Unavailable, NotJson };

// Simulates the operator API of entry hosts that share one configuration.
struct FakeDeployment {
  config::ConfigState state = config::SampleState();
  std::map<std::string, Behaviour> behaviours;
  // Versions that the status shows for hosts a1 and b1, one pair per request.
  // The last pair is repeated.
  std::vector<std::pair<config::Version, config::Version>> reported;
  std::vector<HttpRequest> requests;
  std::ostringstream out;
  std::ostringstream err;
  TimePoint now;
  int ids = 0;

  HttpReply Handle(const HttpRequest& aRequest) {
    this->requests.push_back(aRequest);
    const std::string rest = aRequest.url.substr(std::string("http://").size());
    const std::string host = rest.substr(0, rest.find('/'));
    const std::string path = rest.substr(rest.find('/'));
    switch (this->behaviours[host]) {
      case Behaviour::Refuses:
        return {Transfer::NotSent, 0, "", "connection refused"};
      case Behaviour::Unavailable:
        return {Transfer::Answered, 503, R"({"error":"no_leader"})", ""};
      case Behaviour::NotJson:
        return {Transfer::Answered, 200, "<html>", ""};
      case Behaviour::LosesReply:
        this->Answer(aRequest, path);
        return {Transfer::Unanswered, 0, "", "timeout"};
      default:
        return this->Answer(aRequest, path);
    }
  }

  HttpReply Answer(const HttpRequest& aRequest, const std::string& aPath) {
    if (aPath == "/v1/ops/config" && aRequest.method == "POST") {
      return this->Change(aRequest.body);
    }
    if (aPath == "/v1/ops/config") {
      const Json body{{"host", "a1"},
                      {"version", this->state.version},
                      {"index", 1},
                      {"configuration", Json::parse(config::ConfigurationToJson(
                                            this->state.configuration))}};
      return {Transfer::Answered, 200, body.dump(), ""};
    }
    if (aPath == "/v1/ops/status") {
      return this->Status();
    }
    return {Transfer::Answered, 404,
            R"({"error":"not_found","field":"","detail":"no such path"})", ""};
  }

  HttpReply Change(const std::string& aBody) {
    config::JsonReason reason;
    const auto request = config::ChangeRequestFromJson(aBody, reason);
    if (!request) {
      const Json body{{"error", "malformed"},
                      {"field", reason.field},
                      {"detail", reason.detail}};
      return {Transfer::Answered, 400, body.dump(), ""};
    }
    const config::Outcome outcome = request->dryRun
                                        ? Check(this->state, request->command)
                                        : Apply(this->state, request->command);
    const bool conflict = outcome.code == config::RefusalCode::Conflict;
    const long status = outcome.accepted ? 200 : conflict ? 409 : 422;
    return {Transfer::Answered, status, OutcomeToJson(outcome), ""};
  }

  HttpReply Status() {
    std::pair<config::Version, config::Version> versions;
    if (!this->reported.empty()) {
      versions = this->reported.front();
      if (this->reported.size() > 1) {
        this->reported.erase(this->reported.begin());
      }
    }
    const auto row = [](const char* aHost, config::Version aVersion) {
      return Json{
          {"host", aHost},         {"data_centre", std::string(aHost, 1)},
          {"known", aVersion > 0}, {"stale", false},
          {"ready", true},         {"version", aVersion},
          {"preset", "x"}};
    };
    const Json body{
        {"hosts", {row("a1", versions.first), row("b1", versions.second)}}};
    return {Transfer::Answered, 200, body.dump(), ""};
  }

  int Execute(std::vector<std::string> aWords) {
    aWords.insert(aWords.end(), {"--host", kFirst, "--host", kSecond});
    return this->ExecuteWithoutHosts(aWords);
  }

  int ExecuteWithoutHosts(const std::vector<std::string>& aWords) {
    this->out.str("");
    this->err.str("");
    const Environment environment{
        this->out,
        this->err,
        [this](const HttpRequest& aRequest) { return this->Handle(aRequest); },
        [](const std::string& aPath) -> std::optional<std::string> {
          const std::string text = ReadText(aPath);
          return text.empty() ? std::nullopt : std::optional(text);
        },
        [this] { return "id-" + std::to_string(++this->ids); },
        [this] { return this->now; },
        [this](Duration aLength) { this->now = this->now + aLength; },
        ""};
    return static_cast<int>(Run(aWords, environment));
  }

  std::string Text() const { return this->out.str() + this->err.str(); }
};

// Splits a command line whose arguments may be in single quotes.
std::vector<std::string> SplitWords(const std::string& aLine) {
  std::vector<std::string> words(1);
  bool quoted = false;
  for (const char character : aLine) {
    if (character == '\'') {
      quoted = !quoted;
    } else if (character == ' ' && !quoted) {
      words.emplace_back();
    } else {
      words.back() += character;
    }
  }
  return words;
}

bool Contains(const std::string& aText, const std::string& aPart) {
  return aText.find(aPart) != std::string::npos;
}

}  // namespace

class RunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTest);
  CPPUNIT_TEST(testWrongUsageSendsNothing);
  CPPUNIT_TEST(testExitCodes);
  CPPUNIT_TEST(testLostReplyIsRetriedAtTheNextHost);
  CPPUNIT_TEST(testPrintedResendIsTheSameRequest);
  CPPUNIT_TEST(testDryRunChangesNothing);
  CPPUNIT_TEST(testWaitReportsEachHost);
  CPPUNIT_TEST(testSetKeepsOtherFields);
  CPPUNIT_TEST(testBootstrapCheck);
  CPPUNIT_TEST(testHelpCompletionAndPageAgree);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a mistyped command line that changes something.
  void testWrongUsageSendsNothing() {
    const std::vector<std::string> lines{
        "",
        "preset",
        "preset swap x",
        "preset use",
        "preset use a b",
        "preset use peak --wiat",
        "preset use peak --wait-ms",
        "preset use peak --wait-ms soon",
        "preset use peak --output xml",
        "preset use peak --timeout-ms 0",
        "preset use peak --host example.org:1",
        "preset use peak --request-id r",
        "preset use peak --expected-version x",
        "preset use peak --output json --output json",
        "config change nonsense",
        "job submit j --member m",
        "job submit j --member m --class c --processors-milli 1 --memory-mb x",
        "job submit j --member m --class c --processors-milli 1 --memory-mb 1" +
            std::string(" --urgent maybe"),
    };
    for (const std::string& line : lines) {
      FakeDeployment deployment;
      const auto words =
          line.empty() ? std::vector<std::string>{} : SplitWords(line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(line + deployment.Text(), 2,
                                   deployment.Execute(words));
      CPPUNIT_ASSERT_MESSAGE(line, deployment.requests.empty());
      CPPUNIT_ASSERT_MESSAGE(line, !deployment.err.str().empty());
    }
    FakeDeployment deployment;
    CPPUNIT_ASSERT_EQUAL(2, deployment.ExecuteWithoutHosts({"status"}));
    CPPUNIT_ASSERT(Contains(deployment.err.str(), "BRAMLEYPATH_HOSTS"));
  }

  // Guards against exit codes from which a script can't tell "nothing was
  // changed" from "may have been changed".
  void testExitCodes() {
    struct Row {
      const char* line;
      Behaviour first;
      Behaviour second;
      int code;
      const char* text;
    };
    const Row rows[] = {
        {"preset use peak", Behaviour::Answers, Behaviour::Answers, 0,
         "accepted: version 2"},
        {"preset use peak", Behaviour::Refuses, Behaviour::Answers, 0,
         "accepted: version 2"},
        {"preset use peak", Behaviour::Unavailable, Behaviour::Answers, 0,
         "accepted: version 2"},
        {"preset use peak --expected-version 9", Behaviour::Answers,
         Behaviour::Answers, 3, "conflict"},
        {"preset use none", Behaviour::Answers, Behaviour::Answers, 4,
         "change.preset: no preset is named"},
        {"config change {}", Behaviour::Answers, Behaviour::Answers, 4,
         "change.kind"},
        {"job explain none", Behaviour::Answers, Behaviour::Answers, 4,
         "not_found"},
        {"preset use peak --expected-version 1", Behaviour::Refuses,
         Behaviour::Refuses, 5, "nothing was changed"},
        {"preset use peak --expected-version 1", Behaviour::Refuses,
         Behaviour::LosesReply, 6, "may have taken effect"},
        {"preset use peak --expected-version 1", Behaviour::Unavailable,
         Behaviour::Unavailable, 6, "no_leader"},
        {"preset list", Behaviour::Unavailable, Behaviour::Refuses, 5,
         "name further entry hosts"},
        {"preset list", Behaviour::NotJson, Behaviour::NotJson, 1,
         "operators' listener"},
        {"config apply /nonexistent", Behaviour::Answers, Behaviour::Answers, 8,
         "can't be read"},
    };
    for (const Row& row : rows) {
      FakeDeployment deployment;
      deployment.behaviours = {{kFirst, row.first}, {kSecond, row.second}};
      const int code = deployment.Execute(SplitWords(row.line));
      const std::string label =
          std::string(row.line) + ": " + deployment.Text();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, row.code, code);
      CPPUNIT_ASSERT_MESSAGE(label, Contains(deployment.Text(), row.text));
    }
  }

  // Guards against a change that is applied twice because the reply of the
  // first host was lost.
  void testLostReplyIsRetriedAtTheNextHost() {
    FakeDeployment deployment;
    deployment.behaviours[kFirst] = Behaviour::LosesReply;
    CPPUNIT_ASSERT_EQUAL(0, deployment.Execute({"preset", "use", "peak"}));
    CPPUNIT_ASSERT_EQUAL(config::Version{2}, deployment.state.version);
  }

  // Guards against a printed resend command that sends a different request than
  // the first one.
  void testPrintedResendIsTheSameRequest() {
    FakeDeployment deployment;
    deployment.behaviours = {{kFirst, Behaviour::LosesReply},
                             {kSecond, Behaviour::LosesReply}};
    CPPUNIT_ASSERT_EQUAL(6, deployment.Execute({"preset", "use", "peak",
                                                "--expected-version", "1"}));
    const std::string text = deployment.err.str();
    const std::string start = "resend it with: bramleypath ";
    const auto at = text.find(start);
    CPPUNIT_ASSERT_MESSAGE(text, at != std::string::npos);
    const std::string line = text.substr(at + start.size());
    deployment.behaviours.clear();
    const int code =
        deployment.Execute(SplitWords(line.substr(0, line.find('\n'))));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(deployment.Text(), 0, code);
    CPPUNIT_ASSERT(Contains(deployment.out.str(), "version 2"));
    CPPUNIT_ASSERT_EQUAL(config::Version{2}, deployment.state.version);
  }

  // Guards against a dry run that changes something.
  void testDryRunChangesNothing() {
    FakeDeployment deployment;
    CPPUNIT_ASSERT_EQUAL(
        0, deployment.Execute({"preset", "use", "peak", "--dry-run"}));
    CPPUNIT_ASSERT(Contains(deployment.out.str(), "would be accepted"));
    CPPUNIT_ASSERT_EQUAL(
        4, deployment.Execute({"preset", "use", "none", "--dry-run"}));
    const std::size_t sent = deployment.requests.size();
    CPPUNIT_ASSERT_EQUAL(
        0, deployment.Execute({"job", "cancel", "j", "--dry-run"}));
    CPPUNIT_ASSERT_EQUAL(sent, deployment.requests.size());
    CPPUNIT_ASSERT_EQUAL(config::Version{1}, deployment.state.version);
  }

  // Guards against a wait that ends early, and against a result that doesn't
  // show which host still has an older version.
  void testWaitReportsEachHost() {
    FakeDeployment deployment;
    deployment.reported = {{1, 0}, {2, 1}, {2, 2}};
    CPPUNIT_ASSERT_EQUAL(
        0, deployment.Execute({"preset", "use", "peak", "--wait"}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400},
                         ToMillis(deployment.now - TimePoint{}));
    deployment.reported = {{3, 0}};
    CPPUNIT_ASSERT_EQUAL(7, deployment.Execute({"preset", "use", "ordinary",
                                                "--wait", "--output", "json"}));
    const Json body = Json::parse(deployment.out.str());
    CPPUNIT_ASSERT(!body["in_force_everywhere"].get<bool>());
    CPPUNIT_ASSERT_EQUAL(std::string("yes"),
                         body["hosts"][0]["in_force"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("no report"),
                         body["hosts"][1]["in_force"].get<std::string>());
    CPPUNIT_ASSERT(deployment.now - TimePoint{} < Seconds(15));
  }

  // Guards against a set command that resets fields for which no option was
  // given.
  void testSetKeepsOtherFields() {
    FakeDeployment deployment;
    CPPUNIT_ASSERT_EQUAL(
        0, deployment.Execute({"class", "set", "c", "--reserved-slots", "4"}));
    const auto& changed =
        deployment.state.configuration.classes.at(ClassId{"c"});
    CPPUNIT_ASSERT_EQUAL(4U, changed.reservedSlots);
    CPPUNIT_ASSERT_EQUAL(50U, changed.expectedServiceMs);
    CPPUNIT_ASSERT(changed.idempotentDefault);
    const std::vector<std::string> more{
        "preset set new --throughput 7",
        "member set new --memory-mb 5",
        "service set new --slots 3",
        "host add h9 --data-centre a --callers 10.0.0.9:1" +
            std::string(" --targets 10.0.0.9:2 --peers 10.0.0.9:3") +
            " --operators 10.0.0.9:4 --disk true",
        "host drain h9",
        "host drain h9 --off",
        "host remove h9",
        "target drain t1",
        "owners set a --lost b",
        "service remove new",
        "member remove new",
        "preset remove new",
        "class remove c",
    };
    for (const std::string& line : more) {
      const int code = deployment.Execute(SplitWords(line));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(line + deployment.Text(), 0, code);
    }
    CPPUNIT_ASSERT(IsPending(deployment.state.configuration.keyOwners));
  }

  // Guards against a check that accepts settings files that are inconsistent
  // with each other.
  void testBootstrapCheck() {
    const std::string folder = BRAMLEYPATH_SOURCE_DIR "/examples/cairnmuir/";
    std::vector<std::string> words{"bootstrap", "check"};
    for (const char* const centre : {"leith", "paisley", "dundee"}) {
      for (const char* const number : {"-1", "-2", "-3"}) {
        words.push_back(folder + centre + number + ".json");
      }
    }
    words.insert(words.end(), {"--config", folder + "configuration.json"});
    FakeDeployment deployment;
    const int code = deployment.ExecuteWithoutHosts(words);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(deployment.Text(), 0, code);
    words.erase(words.begin() + 2);
    CPPUNIT_ASSERT_EQUAL(8, deployment.ExecuteWithoutHosts(words));
    CPPUNIT_ASSERT(Contains(deployment.err.str(),
                            "no settings file was given for host \"leith-1\""));
  }

  // Guards against a command without help, completion or documentation.
  void testHelpCompletionAndPageAgree() {
    const std::string page =
        ReadText(BRAMLEYPATH_SOURCE_DIR "/docs/command-line.md");
    FakeDeployment deployment;
    for (const CommandSpec& command : Commands()) {
      std::vector<std::string> words = SplitWords(command.words);
      words.push_back("--help");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(command.words, 0,
                                   deployment.ExecuteWithoutHosts(words));
      for (const OptionSpec& option : OptionsOf(command)) {
        CPPUNIT_ASSERT_MESSAGE(command.words + option.name,
                               Contains(deployment.out.str(), option.name));
        CPPUNIT_ASSERT_MESSAGE(option.name,
                               Contains(page, "`--" + option.name + "`"));
      }
      CPPUNIT_ASSERT_MESSAGE(command.words,
                             Contains(page, "`" + command.words));
    }
    CPPUNIT_ASSERT_EQUAL(
        BashCompletion(),
        ReadText(BRAMLEYPATH_SOURCE_DIR "/completions/bramleypath.bash"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTest);

}  // namespace bramleypath::cli
