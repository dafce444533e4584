// The daemon of an entry host whose platform carries flow tags in packets.
#ifndef ENTRY_ENTRY_H_
#define ENTRY_ENTRY_H_

#include "entry/belief_codec.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "entry/findings_port.h"
#include "entry/flow_codec.h"
#include "entry/http_responder.h"
#include "entry/metrics.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/state_follower.h"
#include "entry/state_store.h"

#endif  // ENTRY_ENTRY_H_
