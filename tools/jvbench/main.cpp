#include <jacinthvale/bench_main.h>

int main(int argc, char **argv)
{
    return jacinthvale::benchMain(argc, argv);
}
