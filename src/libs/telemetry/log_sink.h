#ifndef TELEMETRY_LOG_SINK_H_
#define TELEMETRY_LOG_SINK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarsail::telemetry {

// Takes whole lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void Write(std::string_view line) = 0;
};

// Lines wait in this much memory at the most.
inline constexpr size_t kLogBufferBytes = 64 * 1024;
// Lines beyond this rate are dropped and counted.
inline constexpr double kLogBytesPerSecond = 32 * 1024;

// Collects lines and writes them when told to, without ever waiting for the
// reader. What does not fit is dropped and counted, and a line says so once
// there is room again. Not thread-safe.
class BoundedLogSink : public LogSink {
 public:
  // Makes `fd` non-blocking.
  explicit BoundedLogSink(int fd);

  void Write(std::string_view line) override;

  // Writes as much as the reader takes.
  void Flush();

  uint64_t dropped_lines() const { return m_dropped_lines; }

 private:
  bool TakeAllowance(size_t bytes);

  int m_fd;
  std::string m_buffer;
  double m_allowance_bytes = kLogBytesPerSecond;
  std::chrono::steady_clock::time_point m_allowance_time;
  uint64_t m_dropped_lines = 0;
  uint64_t m_reported_drops = 0;
};

}  // namespace poplarsail::telemetry

#endif  // TELEMETRY_LOG_SINK_H_
