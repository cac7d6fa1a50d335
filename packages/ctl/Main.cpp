// The program shallotctl.
#include "shallotshift/ctl.h"

int main(int Argc, char **Argv) { return shallot::runCtl(Argc, Argv); }
