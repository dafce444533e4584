#ifndef ENTRY_DAEMON_START_H_
#define ENTRY_DAEMON_START_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "entry/entry_daemon.h"

namespace poplarsail::entry {

// Interval between attempts to start while an address is not available.
inline constexpr std::chrono::milliseconds kStartAttemptInterval{100};
// Interval between log lines about it.
inline constexpr std::chrono::seconds kStartLogInterval{5};

// Settings that are missing or invalid may be just being written: they are read
// again at this interval for this long.
inline constexpr std::chrono::milliseconds kSettingsAttemptInterval{50};
inline constexpr std::chrono::milliseconds kSettingsTimeout{2'000};

using PlatformFactory = std::function<EntryPlatform(const EntrySettings&)>;

// Returns a daemon that is bound to its addresses. Waits while one of them is
// held by another process or doesn't exist yet, and reads the settings again
// before each attempt. Returns null if SIGTERM or SIGINT arrives meanwhile.
// Throws if the settings stay invalid or an address can't be used.
std::unique_ptr<EntryDaemon> StartDaemon(boost::asio::io_context* context,
                                         const std::string& settings_path,
                                         const PlatformFactory& make_platform);

}  // namespace poplarsail::entry

#endif  // ENTRY_DAEMON_START_H_
