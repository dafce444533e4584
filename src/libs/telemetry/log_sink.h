#ifndef TELEMETRY_LOG_SINK_H_
#define TELEMETRY_LOG_SINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "telemetry/log_output.h"

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

struct LogCounts {
  uint64_t dropped_lines = 0;
  // Writes that failed for another reason than a slow reader.
  uint64_t failed_writes = 0;

  friend bool operator==(const LogCounts&, const LogCounts&) = default;
};

// Buffers lines and writes them on Flush, without ever blocking on a slow
// reader. Lines that exceed the buffer or the rate are dropped and counted; the
// number is logged once the buffer has been written. Not thread-safe.
class BoundedLogSink : public LogSink {
 public:
  explicit BoundedLogSink(int fd);

  void Write(std::string_view line) override;

  // Writes as much of the buffer as the file descriptor accepts.
  void Flush();

  const LogCounts& counts() const { return m_counts; }

 private:
  bool TryConsumeAllowance(size_t bytes);

  std::unique_ptr<LogOutput> m_output;
  std::string m_buffer;
  double m_allowance_bytes = kLogBytesPerSecond;
  std::chrono::steady_clock::time_point m_allowance_updated_at;
  LogCounts m_counts;
  uint64_t m_reported_dropped_lines = 0;
};

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_SINK_H_
