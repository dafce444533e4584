#include "soak/log_reader.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <system_error>

namespace poplarsail::soak {

LogReader::LogReader(boost::asio::io_context* context, const std::string& path)
    : m_reader(*context), m_file(path, std::ios::app) {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "pipe2");
  }
  m_reader.assign(ends[0]);
  m_writer = ends[1];
  ReadNext();
}

LogReader::~LogReader() {
  ::close(m_writer);
}

void LogReader::Close() {
  boost::system::error_code ignored;
  m_reader.close(ignored);
}

void LogReader::ReadNext() {
  m_reader.async_read_some(
      boost::asio::buffer(m_buffer),
      [this](const boost::system::error_code& error, size_t size) {
        if (error) {
          return;
        }
        m_file.write(m_buffer.data(), static_cast<std::streamsize>(size));
        m_file.flush();
        ReadNext();
      });
}

}  // namespace poplarsail::soak
