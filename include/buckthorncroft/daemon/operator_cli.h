#pragma once

namespace buckthorncroft::daemon {

/// Exit codes of the operators' client, as its help documents them.
enum CliExitCode {
    CliOk = 0,
    CliRefused = 1, ///< The request was refused or failed; nothing changed.
    CliBadInput = 2, ///< The command line or a file has problems; all are listed.
    CliUnknown = 4, ///< The outcome is not known yet; query it with the command `operation`.
};

/// Runs one command of the operators' client. Returns the exit code.
int runOperatorCli(int argc, char** argv);

} // namespace buckthorncroft::daemon
