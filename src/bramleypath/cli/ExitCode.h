#pragma once

namespace bramleypath::cli {

// Exit codes of the program; part of its interface (docs/command-line.md).
enum class ExitCode {
  Success = 0,
  // A reply was not understood.
  UnexpectedReply = 1,
  // The command line is wrong. Nothing was sent.
  Usage = 2,
  // The expected version has passed, or the request id was used before.
  Conflict = 3,
  // Refused for another reason, or the named thing doesn't exist.
  Refused = 4,
  // No entry host could be connected to. Nothing was changed.
  Unreachable = 5,
  // The request was sent and not answered. It may have taken effect.
  OutcomeUnknown = 6,
  // Accepted, and not in force on every host before the wait ended.
  NotInForce = 7,
  // A file can't be read, or has faults.
  FaultyFile = 8,
};

}  // namespace bramleypath::cli
