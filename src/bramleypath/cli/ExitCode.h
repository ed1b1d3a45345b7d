#pragma once

namespace bramleypath::cli {

// Exit codes of the program; part of its interface (docs/command-line.md).
enum class ExitCode {
  Success = 0,
  // A host sent a reply that is not a reply of the operator API.
  UnexpectedReply = 1,
  // The command line is wrong. Nothing was sent.
  Usage = 2,
  // The expected version is no longer the current one, or the request id was
  // already used for another request.
  Conflict = 3,
  // The request was refused for another reason, or the object that it names
  // doesn't exist.
  Refused = 4,
  // No entry host could be connected to. Nothing was changed.
  Unreachable = 5,
  // The request was sent and not answered. It may have taken effect.
  OutcomeUnknown = 6,
  // The change was accepted, but was not in force on every host before the
  // wait ended.
  NotInForce = 7,
  // A file can't be read, or its content is invalid.
  FaultyFile = 8,
};

}  // namespace bramleypath::cli
