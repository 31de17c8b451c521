#include <buckthorncroft/daemon/entry_daemon.h>

int main(int argc, char** argv)
{
    return buckthorncroft::daemon::runEntryDaemon(argc, argv);
}
