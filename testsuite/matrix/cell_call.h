#pragma once

#include <memory>
#include <string>

#include "matrix/cell_runner.h"

/// \file cell_call.h
/// State of the call that a cell runs, and the durations that the faults use.
///
/// The deadline lies between the two durations of a pause, so that a call can
/// survive a short pause and can't survive a long one.

namespace yuccamast::matrix {

/// Index of the VM whose node is the entry in every cell.
inline constexpr std::size_t kEntryIndex = 0;

inline constexpr int kDeadlineMs = 800;  ///< Of both rules.
/// Duration of a short pause: long enough that peers notice it.
inline constexpr int kShortPauseMs = 450;
inline constexpr int kLongPauseMs = 1300;  ///< Duration of a long pause.
/// Time that the entry gets to notice that the caller closed its connection.
inline constexpr int kDisconnectNoticeMs = 150;

/// The call of one cell, as the runner sees it.
struct CellRunner::Call {
  std::string id;  ///< `X-Load-Id`, the key in the ledgers.
  std::unique_ptr<testing::RawConnection> caller;
  /// Index of the VM whose exit or upstream the faults hit: the one that was
  /// seen to have the call or, if the call is held at the entry, that of the
  /// near upstream.
  std::size_t exit_index = 1;
  testing::ReceivedReply reply;
  bool sent = false;  ///< The request was written in full.
};

}  // namespace yuccamast::matrix
