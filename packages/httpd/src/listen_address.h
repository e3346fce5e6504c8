#ifndef CS_LISTEN_ADDRESS_H
#define CS_LISTEN_ADDRESS_H

#include <netdb.h>

/* Resolves a numeric IP:PORT or [IP]:PORT, without name lookup. NULL if it is malformed; otherwise
 * the caller frees the result with freeaddrinfo. */
struct addrinfo *cs_httpd_resolve_listen_address (const char *listen);

#endif
