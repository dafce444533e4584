#include "telemetry/log_sink.h"

#include <algorithm>
#include <cerrno>

#include "telemetry/log.h"

namespace poplarsail::telemetry {

BoundedLogSink::BoundedLogSink(int fd)
    : m_output(MakeLogOutput(fd)),
      m_allowance_updated_at(std::chrono::steady_clock::now()) {}

void BoundedLogSink::Write(std::string_view line) {
  const bool fits = m_buffer.size() + line.size() <= kLogBufferBytes;
  if (!fits || !TryConsumeAllowance(line.size())) {
    ++m_counts.dropped_lines;
    return;
  }
  m_buffer.append(line);
}

void BoundedLogSink::Flush() {
  if (m_counts.dropped_lines > m_reported_dropped_lines && m_buffer.empty()) {
    m_buffer = FormatTimestampedLogLine(
        LogLevel::kWarning, "log", "lines dropped",
        {{"dropped",
          std::to_string(m_counts.dropped_lines - m_reported_dropped_lines)}});
    m_reported_dropped_lines = m_counts.dropped_lines;
  }
  if (m_buffer.empty()) {
    return;
  }
  const ssize_t written = m_output->Write(m_buffer);
  if (written > 0) {
    m_buffer.erase(0, static_cast<size_t>(written));
  } else if (written < 0 && errno != EAGAIN && errno != EINTR) {
    ++m_counts.failed_writes;
  }
}

bool BoundedLogSink::TryConsumeAllowance(size_t bytes) {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed = now - m_allowance_updated_at;
  m_allowance_updated_at = now;
  m_allowance_bytes =
      std::min(kLogBytesPerSecond,
               m_allowance_bytes + passed.count() * kLogBytesPerSecond);
  if (m_allowance_bytes < static_cast<double>(bytes)) {
    return false;
  }
  m_allowance_bytes -= static_cast<double>(bytes);
  return true;
}

}  // namespace poplarsail::telemetry
