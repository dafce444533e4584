#ifndef TELEMETRY_LOG_SINK_H_
#define TELEMETRY_LOG_SINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarsail::telemetry {

// Destination of complete log lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(std::string_view line) = 0;
};

// Capacity of the buffer for lines that have not been written yet.
inline constexpr size_t kLogBufferBytes = 64 * 1024;
// Lines that exceed this rate are dropped and counted.
inline constexpr double kLogBytesPerSecond = 32 * 1024;

// Buffers lines and writes them on Flush, without ever blocking on a slow
// reader. Lines that exceed the buffer or the rate are dropped and counted; the
// number is logged once the buffer has been written. Not thread-safe.
class BoundedLogSink : public LogSink {
 public:
  // Sets `fd` to non-blocking mode.
  explicit BoundedLogSink(int fd);

  void Write(std::string_view line) override;

  // Writes as much of the buffer as the file descriptor accepts.
  void Flush();

  uint64_t dropped_lines() const { return m_dropped_lines; }

 private:
  bool TryConsumeAllowance(size_t bytes);

  int m_fd;
  std::string m_buffer;
  double m_allowance_bytes = kLogBytesPerSecond;
  std::chrono::steady_clock::time_point m_allowance_updated_at;
  uint64_t m_dropped_lines = 0;
  uint64_t m_reported_dropped_lines = 0;
};

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_SINK_H_
