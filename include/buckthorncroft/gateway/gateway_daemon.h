#pragma once

namespace buckthorncroft::gateway {

struct Deployment;

/// Runs a gateway instance until it receives SIGTERM or SIGINT. After a graceful stop it ends the process with status 0
/// and does not return. Otherwise returns the exit status of the process: 0 after `--help` or `--check`, 1 if an
/// address cannot be opened, 2 if the command line or the settings file is invalid.
int runGateway(int argc, char** argv, const Deployment& deployment);

} // namespace buckthorncroft::gateway
