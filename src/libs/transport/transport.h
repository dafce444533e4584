// Carriers: packet ports, HTTP/2 connections, queries, and the rings between
// duties.
#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/bounded_ring.h"
#include "transport/http2_connection.h"
#include "transport/http_query.h"
#include "transport/packet_port.h"
#include "transport/udp_packet_port.h"

#endif  // TRANSPORT_TRANSPORT_H_
