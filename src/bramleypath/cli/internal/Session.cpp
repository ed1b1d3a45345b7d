#include "bramleypath/cli/internal/Session.h"

#include <algorithm>
#include <utility>

namespace bramleypath::cli::detail {

namespace {

constexpr long kBadRequest = 400;
constexpr long kConflict = 409;
constexpr long kUnprocessable = 422;
constexpr long kUnavailable = 503;

// What happened at the hosts that gave no usable reply.
struct Attempts {
  std::string notes;
  bool maybeReceived = false;
  bool misunderstood = false;

  void Note(const std::string& aHost, const std::string& aText) {
    this->notes += (this->notes.empty() ? "" : "; ") + aHost + ": " + aText;
  }
};

SendReason Summarise(const Attempts& aAttempts, bool aChanges) {
  if (aAttempts.maybeReceived && aChanges) {
    return {ExitCode::OutcomeUnknown,
            "no answer from any entry host (" + aAttempts.notes +
                "); the request may have taken effect"};
  }
  if (aAttempts.misunderstood) {
    return {ExitCode::UnexpectedReply,
            "no entry host gave a reply of the operator API (" +
                aAttempts.notes +
                "); check that --host names an operators' listener"};
  }
  const std::string effect = aChanges ? "; nothing was changed" : "";
  return {ExitCode::Unreachable,
          "no entry host could be asked (" + aAttempts.notes + ")" + effect +
              "; check --host, or name further entry hosts"};
}

// Takes the reply of one host, or notes why it can't be used.
std::optional<HostReply> Accept(const std::string& aHost, HttpReply aReply,
                                Attempts& aAttempts) {
  if (aReply.transfer != Transfer::Answered) {
    aAttempts.maybeReceived |= aReply.transfer == Transfer::Unanswered;
    aAttempts.Note(aHost, aReply.detail);
    return std::nullopt;
  }
  Json body = Json::parse(aReply.body, nullptr, false);
  if (aReply.status == kUnavailable) {
    aAttempts.maybeReceived = true;
    aAttempts.Note(aHost, "unavailable: " + TextOf(body, "error") + " " +
                              TextOf(body, "detail"));
    return std::nullopt;
  }
  if (!body.is_object()) {
    // The request was received by something and may have had an effect.
    aAttempts.maybeReceived = true;
    aAttempts.misunderstood = true;
    aAttempts.Note(aHost, "status " + std::to_string(aReply.status) +
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
  Attempts attempts;
  const bool changes = aMethod == "POST";
  const std::string body = changes ? codec::DumpJson(aBody) : "";
  for (const std::string& host : aSession.hosts) {
    std::string url = "http://";
    url += host;
    url += aPath;
    HttpReply reply = aSession.environment.transport(
        HttpRequest{aMethod, std::move(url), body, aSession.timeout});
    if (auto accepted = Accept(host, std::move(reply), attempts)) {
      return accepted;
    }
  }
  aReason = Summarise(attempts, changes);
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

std::string UrlEscape(const std::string& aText) {
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char one : aText) {
    const auto byte = static_cast<unsigned char>(one);
    const bool plain = (one >= 'a' && one <= 'z') ||
                       (one >= 'A' && one <= 'Z') ||
                       (one >= '0' && one <= '9') || one == '-' || one == '_' ||
                       one == '.' || one == '~';
    if (plain) {
      escaped += one;
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
    std::transform(title.begin(), title.end(), title.begin(), [](char aOne) {
      return aOne == '_' ? ' '
                         : static_cast<char>(
                               std::toupper(static_cast<unsigned char>(aOne)));
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
  // Before the request is sent, so that it is known even if the program ends.
  aSession.environment.err << "request id: " << id << "\n";
  return id;
}

}  // namespace bramleypath::cli::detail
