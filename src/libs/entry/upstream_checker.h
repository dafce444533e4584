#ifndef ENTRY_UPSTREAM_CHECKER_H_
#define ENTRY_UPSTREAM_CHECKER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "model/model.h"

namespace poplarsail::entry {

// A connection is accepted within a round trip of 10 ms between the farthest
// failure domains; the rest is for busy hosts.
inline constexpr std::chrono::milliseconds kConnectTimeout{45};
// Connections that have to stay unanswered one after the other: one may be a
// lost packet.
inline constexpr int kConnectAttempts = 2;
// Checks under way at the same time; each holds a descriptor.
inline constexpr size_t kMaxChecks = 64;

enum class CheckResult : uint8_t {
  kAnswer,
  kRefused,
  kNoAnswer,
  kInconclusive
};

// Finds out whether an upstream still takes connections. It sends no request,
// so a check occupies none of the upstream's slots.
class UpstreamChecker {
 public:
  using Callback = std::function<void(uint64_t upstream_id, CheckResult)>;

  UpstreamChecker(boost::asio::io_context* context, Callback callback);

  // `control` should answer: where it stays silent as well, the check proves
  // nothing. Load pattern: this host's own link or processor is overrun, so all
  // answers are late.
  void Check(uint64_t upstream_id,
             const model::Ipv4Endpoint& endpoint,
             const std::optional<model::Ipv4Endpoint>& control);

 private:
  struct Inquiry;
  struct Attempt;
  void Connect(const std::shared_ptr<Inquiry>& inquiry);
  void TryConnection(const model::Ipv4Endpoint& endpoint,
                     std::function<void(CheckResult)> done);
  void Conclude(const std::shared_ptr<Inquiry>& inquiry, CheckResult result);

  boost::asio::io_context* m_context;
  Callback m_callback;
  size_t m_running = 0;
};

}  // namespace poplarsail::entry

#endif  // ENTRY_UPSTREAM_CHECKER_H_
