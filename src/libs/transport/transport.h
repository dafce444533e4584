// Datagram sockets, HTTP/2 connections, URL queries and the queues between
// threads.
#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/datagram_socket.h"
#include "transport/http2_connection.h"
#include "transport/http_query.h"
#include "transport/spsc_queue.h"
#include "transport/udp_socket.h"

#endif  // TRANSPORT_TRANSPORT_H_
