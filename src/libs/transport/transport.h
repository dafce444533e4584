// Carriers: packet ports, HTTP/2 connections, queries, and the rings between
// duties.
#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/spsc_queue.h"
#include "transport/http2_connection.h"
#include "transport/http_query.h"
#include "transport/datagram_socket.h"
#include "transport/udp_socket.h"

#endif  // TRANSPORT_TRANSPORT_H_
