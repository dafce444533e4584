#ifndef TELEMETRY_LOG_OUTPUT_H_
#define TELEMETRY_LOG_OUTPUT_H_

#include <sys/types.h>

#include <memory>
#include <string_view>

namespace poplarsail::telemetry {

// Writes to a file descriptor without waiting for its reader.
class LogOutput {
 public:
  virtual ~LogOutput() = default;
  // Returns the number of bytes written, or -1 and sets errno, as write() does.
  virtual ssize_t Write(std::string_view text) = 0;
};

// Returns an output to the file that `fd` refers to. The flags of `fd` are
// shared with other processes and stay as they are, unless its file can neither
// be opened again nor be written to without waiting in another way.
std::unique_ptr<LogOutput> MakeLogOutput(int fd);

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_OUTPUT_H_
