#include <buckthorncroft/daemon/operator_cli.h>

int main(int argc, char** argv)
{
    return buckthorncroft::daemon::runOperatorCli(argc, argv);
}
