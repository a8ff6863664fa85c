#pragma once

/**
 * Module net: one event loop per process and everything that does I/O on it.
 *
 * Purpose: timers, HTTP server (libmicrohttpd), HTTP client (libcurl),
 * framed websocket links (websocketpp over ACE sockets), pause detection.
 * Owns sockets and timers only. Depends on core. All callbacks run on the
 * loop's thread; no class here is thread-safe. Objects that use a loop are
 * destroyed before it. Callbacks must not throw, and must not destroy the HTTP
 * server or client that runs them; links may be destroyed in their callbacks.
 */

#include "net/event_loop.h"
#include "net/frame_link.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/url.h"
