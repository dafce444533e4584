// The daemon of an entry host on a platform whose packets carry flow tags.
#ifndef ENTRY_ENTRY_H_
#define ENTRY_ENTRY_H_

#include "entry/cluster_state_codec.h"
#include "entry/daemon_start.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "entry/failure_report_channel.h"
#include "entry/flow_codec.h"
#include "entry/http_server.h"
#include "entry/metrics.h"
#include "entry/packet_loop.h"
#include "entry/peer_exchange.h"
#include "entry/state_store.h"
#include "entry/store_watcher.h"

#endif  // ENTRY_ENTRY_H_
