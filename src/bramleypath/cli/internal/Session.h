#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bramleypath/cli/Arguments.h"
#include "bramleypath/cli/Environment.h"
#include "bramleypath/cli/ExitCode.h"
#include "bramleypath/codec/Fields.h"

namespace bramleypath::cli::detail {

using codec::Json;

constexpr long kOk = 200;

// The context of one command: its arguments and the common options.
struct Session {
  const Environment& environment;
  const Arguments& arguments;
  std::vector<std::string> hosts;  // "IP address:port", tried in order
  bool json = false;
  Duration timeout;
};

// A reply of an entry host whose body is a JSON object.
struct HostReply {
  std::string host;
  long status = 0;
  Json body;
};

// Describes why no entry host gave a usable reply.
struct SendReason {
  ExitCode code = ExitCode::Unreachable;
  std::string detail;
};

// Sends a request to the entry hosts in order until one gives a JSON reply with
// a status other than 503. Requests that change state carry a request id, so
// that sending them to the next host after a lost reply is safe.
std::optional<HostReply> Send(const Session& aSession,
                              const std::string& aMethod,
                              const std::string& aPath, const Json& aBody,
                              SendReason& aReason);
std::optional<HostReply> Get(const Session& aSession, const std::string& aPath,
                             SendReason& aReason);

// Prints "bramleypath: TEXT" to the error stream and returns aCode.
ExitCode Fail(const Session& aSession, ExitCode aCode,
              const std::string& aText);
ExitCode Fail(const Session& aSession, const SendReason& aReason);
// Prints the error of a reply whose status is not 200. Refusals by the
// scheduler have a "code" field, other errors an "error" field.
ExitCode FailWithReply(const Session& aSession, const HostReply& aReply);
// Prints why a request failed and returns the exit code; none if aReply has
// status 200. aReason is that of a missing reply.
std::optional<ExitCode> FindFailure(const Session& aSession,
                                    const std::optional<HostReply>& aReply,
                                    const SendReason& aReason);

// Percent-encodes the bytes that are reserved in a path or query.
std::string UrlEscape(const std::string& aText);
// The query string of those options that were given, such as
// "?member=x&state=y"; empty when none was given.
std::string QueryOf(const Session& aSession,
                    const std::vector<std::string>& aOptions);

// The field of an object as text: empty when the field is absent, "yes" or
// "no" for booleans.
std::string TextOf(const Json& aObject, const char* aName);
// Prints a table with one column per field name. When aRows is not an array,
// only the headings are printed.
void PrintTable(const Session& aSession, const Json& aRows,
                const std::vector<const char*>& aNames);
void PrintJson(const Session& aSession, const Json& aJson);

// The id given by --request-id, or a new id, which is printed.
std::string ChooseRequestId(const Session& aSession);

}  // namespace bramleypath::cli::detail
