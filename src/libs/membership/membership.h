// Failure detection among the entry hosts. The library does no I/O and reads no
// clock: its owner passes in received messages and the time, and sends the
// messages that are returned.
#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include "membership/failure_detector.h"
#include "membership/message_codec.h"
#include "membership/messages.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
