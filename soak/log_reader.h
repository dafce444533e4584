#ifndef SOAK_LOG_READER_H_
#define SOAK_LOG_READER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <fstream>
#include <string>

namespace poplarsail::soak {

// Reads the log of a daemon from a pipe and appends it to a file.
class LogReader {
 public:
  LogReader(boost::asio::io_context* context, const std::string& path);
  ~LogReader();

  LogReader(const LogReader&) = delete;
  LogReader& operator=(const LogReader&) = delete;

  // End of the pipe that daemons write to.
  int writer() const { return m_writer; }
  // Goes away without an end of the daemons that write.
  void Close();

 private:
  void ReadNext();

  boost::asio::posix::stream_descriptor m_reader;
  int m_writer = -1;
  std::ofstream m_file;
  std::array<char, 4096> m_buffer{};
};

}  // namespace poplarsail::soak

#endif  // SOAK_LOG_READER_H_
