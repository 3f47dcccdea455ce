#include <jacinthvale/ctl_main.h>

int main(int argc, char **argv)
{
    return jacinthvale::ctlMain(argc, argv);
}
