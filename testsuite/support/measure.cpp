#include "support/measure.h"

#include <unistd.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <numeric>
#include <sstream>

namespace yuccamast::testing {

namespace {

/// Number of fields of /proc/PID/stat between the command name and utime.
constexpr int kFieldsBeforeCpu = 11;

}  // namespace

double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string ignored;
  for (int i = 0; i < kFieldsBeforeCpu; ++i) {
    rest >> ignored;
  }
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long ResidentKb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::strtol(line.c_str() + 6, nullptr, 10);
    }
  }
  return 0;
}

LineFit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / n;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / n;
  double sum_xx = 0;
  double sum_xy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sum_xx += (x[i] - mean_x) * (x[i] - mean_x);
    sum_xy += (x[i] - mean_x) * (y[i] - mean_y);
  }
  LineFit fit;
  fit.slope = sum_xy / sum_xx;
  fit.intercept = mean_y - fit.slope * mean_x;
  double squared_residuals = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double residual = y[i] - fit.intercept - fit.slope * x[i];
    squared_residuals += residual * residual;
  }
  fit.slope_error = n > 2 ? std::sqrt(squared_residuals / (n - 2) / sum_xx) : 0;
  return fit;
}

double ParseLogTime(const std::string& line) {
  std::tm utc{};
  const char* rest =
      line.starts_with("time=")
          ? ::strptime(line.c_str() + 5, "%Y-%m-%dT%H:%M:%S", &utc)
          : nullptr;
  if (rest == nullptr) {
    return 0;
  }
  return static_cast<double>(::timegm(&utc)) + std::strtod(rest, nullptr);
}

double UnixSeconds() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace yuccamast::testing
