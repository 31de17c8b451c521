#pragma once

namespace buckthorncroft::gateway {

struct Deployment;

/// Runs a gateway instance until it receives SIGTERM or SIGINT. Returns the exit status of the process: 0 after a
/// graceful stop, 1 if an address cannot be opened, 2 if the command line or the settings file is invalid.
int runGateway(int argc, char** argv, const Deployment& deployment);

} // namespace buckthorncroft::gateway
