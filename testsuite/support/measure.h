#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// \file measure.h
/// Readings of a process and straight-line fits, for benchmarks.

namespace yuccamast::testing {

/// Processor time a process has used, in seconds.
double CpuSeconds(pid_t pid);

/// Resident memory of a process, in KiB.
long ResidentKb(pid_t pid);

/// y = intercept + slope * x by least squares.
struct Fit {
  double intercept = 0;
  double slope = 0;
  double slope_error = 0;  ///< Standard error of the slope.
};

Fit FitLine(const std::vector<double>& x, const std::vector<double>& y);

/// Seconds since the epoch of the `time=` field of a log line, or 0.
double LogTime(const std::string& line);

/// Seconds since the epoch, now.
double WallSeconds();

}  // namespace yuccamast::testing
