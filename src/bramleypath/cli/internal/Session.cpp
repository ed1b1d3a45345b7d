#include "bramleypath/cli/internal/Session.h"

#include <algorithm>
#include <utility>

#include "bramleypath/codec/Bounded.h"

namespace bramleypath::cli::detail {

namespace {

constexpr long kBadRequest = 400;
constexpr long kConflict = 409;
constexpr long kUnprocessable = 422;
constexpr long kUnavailable = 503;

// Collects the failures of the hosts that gave no usable reply.
struct FailedAttempts {
  std::string details;
  bool mayBeReceived = false;
  bool hasUnexpectedReply = false;

  void Add(const std::string& aHost, const std::string& aText) {
    this->details += (this->details.empty() ? "" : "; ") + aHost + ": " + aText;
  }
};

SendReason SummariseFailures(const FailedAttempts& aFailures, bool aChanges) {
  if (aFailures.mayBeReceived && aChanges) {
    return {ExitCode::OutcomeUnknown,
            "no answer from any entry host (" + aFailures.details +
                "); the request may have taken effect"};
  }
  if (aFailures.hasUnexpectedReply) {
    return {ExitCode::UnexpectedReply,
            "no entry host sent a reply of the operator API (" +
                aFailures.details +
                "); check that --host names an operators' listener"};
  }
  const std::string effect = aChanges ? "; nothing was changed" : "";
  return {ExitCode::Unreachable,
          "no entry host could be reached (" + aFailures.details + ")" +
              effect + "; check --host, or name further entry hosts"};
}

// Returns the reply of one host, or records why it can't be used.
std::optional<HostReply> ParseReply(const std::string& aHost, HttpReply aReply,
                                    FailedAttempts& aFailures) {
  if (aReply.transfer != Transfer::Answered) {
    aFailures.mayBeReceived |= aReply.transfer == Transfer::Unanswered;
    aFailures.Add(aHost, aReply.detail);
    return std::nullopt;
  }
  Json body = codec::ParseJson(aReply.body);
  if (aReply.status == kUnavailable) {
    aFailures.mayBeReceived = true;
    aFailures.Add(aHost, "unavailable: " + TextOf(body, "error") + " " +
                             TextOf(body, "detail"));
    return std::nullopt;
  }
  if (!body.is_object()) {
    // The server that replied may have carried out the request.
    aFailures.mayBeReceived = true;
    aFailures.hasUnexpectedReply = true;
    aFailures.Add(aHost, "status " + std::to_string(aReply.status) +
                             " without a JSON object");
    return std::nullopt;
  }
  return HostReply{aHost, aReply.status, std::move(body)};
}

}  // namespace

std::optional<HostReply> Send(const Session& aSession,
                              const std::string& aMethod,
                              const std::string& aPath, const Json& aBody,
                              SendReason& aReason) {
  FailedAttempts failures;
  const bool changes = aMethod == "POST";
  const std::string body = changes ? codec::DumpJson(aBody) : "";
  for (const std::string& host : aSession.hosts) {
    std::string url = "http://";
    url += host;
    url += aPath;
    HttpReply reply = aSession.environment.transport(
        HttpRequest{aMethod, std::move(url), body, aSession.timeout});
    if (auto parsed = ParseReply(host, std::move(reply), failures)) {
      return parsed;
    }
  }
  aReason = SummariseFailures(failures, changes);
  return std::nullopt;
}

std::optional<HostReply> Get(const Session& aSession, const std::string& aPath,
                             SendReason& aReason) {
  return Send(aSession, "GET", aPath, Json(), aReason);
}

ExitCode Fail(const Session& aSession, ExitCode aCode,
              const std::string& aText) {
  aSession.environment.err << "bramleypath: " << aText << "\n";
  return aCode;
}

ExitCode Fail(const Session& aSession, const SendReason& aReason) {
  return Fail(aSession, aReason.code, aReason.detail);
}

ExitCode FailWithReply(const Session& aSession, const HostReply& aReply) {
  const std::string code = aReply.body.contains("code")
                               ? TextOf(aReply.body, "code")
                               : TextOf(aReply.body, "error");
  const std::string field = TextOf(aReply.body, "field");
  std::string text = "refused by " + aReply.host + " (" +
                     (code.empty() ? std::to_string(aReply.status) : code) +
                     "): ";
  text += (field.empty() ? "" : field + ": ") + TextOf(aReply.body, "detail");
  if (aSession.json) {
    PrintJson(aSession, aReply.body);
  }
  if (code == "conflict" || code == "request_id_reused") {
    const char* const advice =
        code == "conflict" ? "; `bramleypath config get` shows what changed"
                           : "";
    return Fail(aSession, ExitCode::Conflict, text + advice);
  }
  const bool isRefusal = aReply.status == kConflict ||
                         aReply.status == kUnprocessable ||
                         (aReply.status >= kBadRequest && !code.empty());
  return Fail(aSession,
              isRefusal ? ExitCode::Refused : ExitCode::UnexpectedReply, text);
}

std::optional<ExitCode> FindFailure(const Session& aSession,
                                    const std::optional<HostReply>& aReply,
                                    const SendReason& aReason) {
  if (!aReply) {
    return Fail(aSession, aReason);
  }
  if (aReply->status != kOk) {
    return FailWithReply(aSession, *aReply);
  }
  return std::nullopt;
}

std::string UrlEscape(const std::string& aText) {
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool plain = (character >= 'a' && character <= 'z') ||
                       (character >= 'A' && character <= 'Z') ||
                       (character >= '0' && character <= '9') ||
                       character == '-' || character == '_' ||
                       character == '.' || character == '~';
    if (plain) {
      escaped += character;
    } else {
      escaped += '%';
      escaped += kDigits[byte >> 4];
      escaped += kDigits[byte & 15];
    }
  }
  return escaped;
}

std::string QueryOf(const Session& aSession,
                    const std::vector<std::string>& aOptions) {
  std::string query;
  for (const std::string& name : aOptions) {
    if (!HasOption(aSession.arguments, name)) {
      continue;
    }
    std::string parameter = name;
    std::replace(parameter.begin(), parameter.end(), '-', '_');
    query += (query.empty() ? "?" : "&") + parameter + "=" +
             UrlEscape(OptionValue(aSession.arguments, name));
  }
  return query;
}

std::string TextOf(const Json& aObject, const char* aName) {
  if (!aObject.is_object() || !aObject.contains(aName)) {
    return "";
  }
  const Json& value = aObject[aName];
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.is_string() ? value.get<std::string>() : codec::DumpJson(value);
}

void PrintTable(const Session& aSession, const Json& aRows,
                const std::vector<const char*>& aNames) {
  std::vector<std::vector<std::string>> lines(1);
  for (const char* const name : aNames) {
    std::string title = name;
    std::transform(title.begin(), title.end(), title.begin(),
                   [](char aCharacter) {
                     return aCharacter == '_'
                                ? ' '
                                : static_cast<char>(std::toupper(
                                      static_cast<unsigned char>(aCharacter)));
                   });
    lines.front().push_back(title);
  }
  for (const Json& row : aRows.is_array() ? aRows : Json::array()) {
    auto& line = lines.emplace_back();
    for (const char* const name : aNames) {
      line.push_back(TextOf(row, name));
    }
  }
  std::vector<std::size_t> widths(aNames.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  for (const auto& line : lines) {
    std::string text;
    for (std::size_t column = 0; column < line.size(); ++column) {
      std::string cell = line[column];
      cell.resize(widths[column] + 2, ' ');
      text += cell;
    }
    text.erase(text.find_last_not_of(' ') + 1);
    aSession.environment.out << text << "\n";
  }
}

void PrintJson(const Session& aSession, const Json& aJson) {
  constexpr int kIndent = 2;
  aSession.environment.out << codec::DumpJson(aJson, kIndent) << "\n";
}

std::string ChooseRequestId(const Session& aSession) {
  if (HasOption(aSession.arguments, "request-id")) {
    return OptionValue(aSession.arguments, "request-id");
  }
  const std::string id = aSession.environment.newRequestId();
  // The id is printed before the request is sent, so that the operator can
  // resend the request even if the program is killed.
  aSession.environment.err << "request id: " << id << "\n";
  return id;
}

}  // namespace bramleypath::cli::detail
