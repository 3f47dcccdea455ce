#include <jacinthvale/daemon_main.h>

int main(int argc, char **argv)
{
    return jacinthvale::daemonMain(jacinthvale::process_role::rollout, argc, argv);
}
