#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// \file measure.h
/// Measurements for benchmarks: processor time and memory of a process from
/// /proc (Linux), times of log lines, and linear regression.

namespace yuccamast::testing {

/// Returns the processor time (user and system) that a process has used, in
/// seconds, with the resolution of the clock tick (usually 10 ms). The process
/// must exist.
double CpuSeconds(pid_t pid);

/// Returns the resident memory of a process in KiB, or 0 if it has ended.
long ResidentKb(pid_t pid);

/// The line y = intercept + slope * x.
struct LineFit {
  double intercept = 0;
  double slope = 0;
  double slope_error = 0;  ///< Standard error of the slope; 0 for 2 points.
};

/// Fits a line by ordinary least squares. `x` and `y` must have the same size,
/// and `x` at least two different values.
LineFit FitLine(const std::vector<double>& x, const std::vector<double>& y);

/// Returns the time of a log line in seconds since the Unix epoch, or 0 if the
/// line doesn't begin with a `time=` field.
double ParseLogTime(const std::string& line);

/// Returns the system time in seconds since the Unix epoch.
double UnixSeconds();

}  // namespace yuccamast::testing
