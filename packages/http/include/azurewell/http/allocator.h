#pragma once

namespace azurewell {

/// Lets the allocator give long blocks back to the system when they are freed. By default it keeps
/// more and more of them once the first has been freed, and the memory of a crowd's bodies stays
/// with the process. To be called at the start of a program.
void giveBackFreedBlocks();

} // namespace azurewell
