#pragma once

/**
 * Module net: one event loop per process and everything that does I/O on it.
 *
 * Purpose: timers, HTTP server (libmicrohttpd), HTTP client (libcurl),
 * framed websocket links (websocketpp over ACE sockets), pause detection.
 * Owns sockets and timers only. Depends on core. All callbacks run on the
 * loop's thread; no class here is thread-safe.
 */

#include "net/event_loop.h"
#include "net/frame_link.h"
#include "net/http_client.h"
#include "net/http_server.h"
