#pragma once

#include <memory>
#include <string>

#include "matrix/cell_runner.h"

/// \file cell_call.h
/// The call of one cell, and the times that cells are built on.

namespace yuccamast::matrix {

/// The VM whose node is the entry of every cell.
inline constexpr std::size_t kEntry = 0;

inline constexpr int kDeadlineMs = 800;
inline constexpr int kShortPauseMs = 450;  ///< Long enough to be noticed.
inline constexpr int kLongPauseMs = 1300;
inline constexpr int kNoticeMs = 150;  ///< In which a caller's end is noticed.

/// The call of one cell.
struct CellRunner::Call {
  std::string id;
  std::unique_ptr<testing::RawConnection> caller;
  std::size_t holder = 1;  ///< The VM whose exit has it, as far as is known.
  testing::HttpAnswer answer;
  bool sent = false;
};

}  // namespace yuccamast::matrix
