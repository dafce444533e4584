#include "telemetry/log_output.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <string>

namespace poplarsail::telemetry {

namespace {

// A descriptor whose write() doesn't wait.
class DescriptorOutput : public LogOutput {
 public:
  explicit DescriptorOutput(int fd) : m_fd(fd) {}
  ssize_t Write(std::string_view text) override {
    return ::write(m_fd, text.data(), text.size());
  }

 protected:
  int fd() const { return m_fd; }

 private:
  int m_fd;
};

class OwnedDescriptorOutput : public DescriptorOutput {
 public:
  using DescriptorOutput::DescriptorOutput;
  ~OwnedDescriptorOutput() override { ::close(fd()); }

  OwnedDescriptorOutput(const OwnedDescriptorOutput&) = delete;
  OwnedDescriptorOutput& operator=(const OwnedDescriptorOutput&) = delete;
};

class SocketOutput : public LogOutput {
 public:
  explicit SocketOutput(int fd) : m_fd(fd) {}
  ssize_t Write(std::string_view text) override {
    return ::send(m_fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }

 private:
  int m_fd;
};

// Opens the file of `fd` once more, with flags of its own. Returns -1 if that
// is not possible, such as for a pipe of another user or without a reader.
int OpenAgain(int fd) {
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

}  // namespace

std::unique_ptr<LogOutput> MakeLogOutput(int fd) {
  struct stat status {};
  if (::fstat(fd, &status) != 0 || S_ISREG(status.st_mode)) {
    return std::make_unique<DescriptorOutput>(fd);
  }
  if (S_ISSOCK(status.st_mode)) {
    return std::make_unique<SocketOutput>(fd);
  }
  if (const int own_fd = OpenAgain(fd); own_fd >= 0) {
    return std::make_unique<OwnedDescriptorOutput>(own_fd);
  }
  const int flags = ::fcntl(fd, F_GETFL);
  if (flags >= 0) {
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  }
  return std::make_unique<DescriptorOutput>(fd);
}

}  // namespace poplarsail::telemetry
