#include <iostream>
#include <string_view>

#include "standin/platform.h"
#include "standin/relay.h"
#include "standin/upstream.h"

/// `yuccamast-standin KIND [OPTIONS]`: test doubles ("stand-ins") of what
/// surrounds a node. For tests only; it is not installed.
int main(int argc, char** argv) {
  const std::string_view kind = argc > 1 ? argv[1] : "";
  if (kind == "upstream") {
    return yuccamast::standin::RunUpstream(argc - 1, argv + 1);
  }
  if (kind == "platform") {
    return yuccamast::standin::RunPlatform(argc - 1, argv + 1);
  }
  if (kind == "relay") {
    return yuccamast::standin::RunRelay(argc - 1, argv + 1);
  }
  std::cerr << "Usage: yuccamast-standin upstream|platform|relay [OPTIONS]\n";
  return 2;
}
