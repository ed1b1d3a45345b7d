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

// One run of the program.
struct Session {
  const Environment& environment;
  const Arguments& arguments;
  std::vector<std::string> hosts;  // "IP address:port", tried in order
  bool json = false;
  Duration timeout;
};

// A reply of an entry host whose body is JSON.
struct HostReply {
  std::string host;
  long status = 0;
  Json body;
};

struct SendReason {
  ExitCode code = ExitCode::Unreachable;
  std::string detail;
};

// Sends a request to the hosts in order until one answers with something other
// than 503. Requests that change something carry a request id, so that asking
// the next host after a lost answer is safe.
std::optional<HostReply> Send(const Session& aSession,
                              const std::string& aMethod,
                              const std::string& aPath, const Json& aBody,
                              SendReason& aReason);
std::optional<HostReply> Get(const Session& aSession, const std::string& aPath,
                             SendReason& aReason);

// Prints "bramleypath: TEXT" to the error stream and returns the code.
ExitCode Fail(const Session& aSession, ExitCode aCode,
              const std::string& aText);
ExitCode Fail(const Session& aSession, const SendReason& aReason);
// Reports a reply whose status is not 200. Refusals of the system have a code,
// other errors an "error".
ExitCode FailWithReply(const Session& aSession, const HostReply& aReply);

// Text with the bytes escaped that may not stand in a path or query.
std::string UrlEscape(const std::string& aText);
// "?member=x&state=y" of those options that were given; may be empty.
std::string QueryOf(const Session& aSession,
                    const std::vector<std::string>& aOptions);

// A member of an object as text; empty when absent, "yes" or "no" for booleans.
std::string TextOf(const Json& aObject, const char* aName);
// Prints one column for each name, with the values of TextOf. aRows that is no
// array prints as an empty table.
void PrintTable(const Session& aSession, const Json& aRows,
                const std::vector<const char*>& aNames);
void PrintJson(const Session& aSession, const Json& aJson);

// The id given by --request-id, or a new one.
std::string ChooseRequestId(const Session& aSession);

}  // namespace bramleypath::cli::detail
