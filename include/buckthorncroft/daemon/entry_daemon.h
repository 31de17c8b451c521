#pragma once

namespace buckthorncroft::daemon {

/// Exit codes of the entry daemon, as its help documents them.
enum ExitCode {
    ExitOk = 0, ///< Graceful stop, or nothing to report.
    ExitStartFailed = 1, ///< An address could not be opened.
    ExitBadSettings = 2, ///< The settings or the command line have problems.
    ExitForced = 3, ///< A second SIGTERM or SIGINT ended the process with requests in flight.
};

/// Runs the entry daemon until SIGTERM or SIGINT. Returns the exit code.
int runEntryDaemon(int argc, char** argv);

} // namespace buckthorncroft::daemon
