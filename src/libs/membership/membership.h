// Which entry hosts answer: failure detection among the hosts themselves. The
// library does no I/O and reads no clock; messages and time come in, messages
// to send go out.
#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include "membership/failure_detector.h"
#include "membership/message_codec.h"
#include "membership/messages.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
