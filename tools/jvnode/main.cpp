#include "node_runtime.h"
#include "platform_port.h"

int main(int argc, char **argv)
{
    return jacinthvale::node::nodeMain(argc, argv, jacinthvale::platform::makePlatformPort());
}
