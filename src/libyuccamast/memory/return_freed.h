#pragma once

#include <malloc.h>

/// \file return_freed.h
/// Makes the allocator give long blocks back to the system when they are freed.
///
/// By default, glibc raises the size from which blocks are mapped one by one
/// whenever such a block is freed. Bodies and messages then come from the heap,
/// where freed ones stay resident between others, and a process holds a
/// multiple of what its account says.

namespace yuccamast {

/// Fixes the limits of the allocator for the whole process. Call once, before
/// other threads start.
inline void ReturnFreedMemory() {
  constexpr int kMappedBytes = 128 << 10;
  constexpr int kTrimBytes = 1 << 20;
  constexpr int kArenas = 2;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  ::mallopt(M_ARENA_MAX, kArenas);
}

}  // namespace yuccamast
