#ifndef REDWING_FRAMEWORK_WIRE_COMPRESSION_H_
#define REDWING_FRAMEWORK_WIRE_COMPRESSION_H_

#include <cstddef>
#include <string>

#include "framework/errors/result.h"

namespace redwing {

// Compresses bytes with zlib. Fails with kInternal when it has no memory.
Result<std::string> Compress(const std::string& bytes);

// Restores what Compress() made. Fails with kBadMessage for bytes of another
// shape, and where more than `max_size` bytes would come of them.
Result<std::string> Decompress(const std::string& bytes, size_t max_size);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_COMPRESSION_H_
