/* cornelspindle: command-line client for operators. */
#include "cs/ctl.h"

int
main (int argc, char **argv)
{
	return cs_ctl_run (argc, argv, stdout, stderr);
}
