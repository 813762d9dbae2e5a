#include "azurewell/http/allocator.h"

#include <malloc.h>

namespace azurewell {

namespace {

/// The allocator's first threshold, which setting it keeps from growing.
constexpr int longBlockBytes = 128 * 1024;

/// Free memory at the end of the heap that is kept, so that ordinary requests call the kernel
/// rarely.
constexpr int keptHeapBytes = 4 * 1024 * 1024;

} // namespace

void giveBackFreedBlocks()
{
    ::mallopt(M_MMAP_THRESHOLD, longBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
}

} // namespace azurewell
