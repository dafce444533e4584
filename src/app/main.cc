#include "app/commands.h"

int main(int argc, char** argv) {
  return poplarsail::app::RunCommandLine(argc, argv);
}
