#include "../platform/deployment.h"

#include <buckthorncroft/gateway/gateway_daemon.h>

int main(int argc, char** argv)
{
    return buckthorncroft::gateway::runGateway(argc, argv, buckthorncroft::platform::makeDeployment());
}
