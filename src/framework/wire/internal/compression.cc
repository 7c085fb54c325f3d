#include "framework/wire/compression.h"

#include <zlib.h>

#include <algorithm>

namespace redwing {

namespace {

constexpr size_t kPiece = 64 * 1024;  // bytes

// Ends the stream that it holds.
class Inflater {
 public:
  Inflater() : ready_(inflateInit(&stream_) == Z_OK) {}
  ~Inflater() { inflateEnd(&stream_); }
  Inflater(const Inflater&) = delete;
  Inflater& operator=(const Inflater&) = delete;

  bool ready() const { return ready_; }
  z_stream& stream() { return stream_; }

 private:
  z_stream stream_{};
  bool ready_;
};

}  // namespace

Result<std::string> Compress(const std::string& bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  const int done = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                             reinterpret_cast<const Bytef*>(bytes.data()),
                             bytes.size(), Z_BEST_SPEED);
  if (done != Z_OK) {
    return NotRun(Errc::kInternal, "bytes could not be compressed");
  }
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(const std::string& bytes, size_t max_size) {
  Inflater inflater;
  if (!inflater.ready()) {
    return NotRun(Errc::kInternal, "bytes could not be decompressed");
  }
  z_stream& stream = inflater.stream();
  // zlib does not change its input.
  stream.next_in =
      const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string restored;
  int state = Z_OK;
  while (state == Z_OK) {
    const size_t held = restored.size();
    if (held >= max_size) {
      return NotRun(Errc::kBadMessage, "compressed bytes are too many");
    }
    restored.resize(std::min(held + kPiece, max_size));
    stream.next_out = reinterpret_cast<Bytef*>(restored.data() + held);
    stream.avail_out = static_cast<uInt>(restored.size() - held);
    state = inflate(&stream, Z_NO_FLUSH);
    restored.resize(restored.size() - stream.avail_out);
  }
  if (state != Z_STREAM_END) {
    return NotRun(Errc::kBadMessage, "bytes are not compressed ones");
  }
  return restored;
}

}  // namespace redwing
