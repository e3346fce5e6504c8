#include "listen_address.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "cs/str.h"

struct addrinfo *
cs_httpd_resolve_listen_address (const char *listen)
{
	struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
				 .ai_socktype = SOCK_STREAM};
	struct addrinfo *found = NULL;
	const char *colon = strrchr (listen, ':');
	if (!colon)
		return NULL;
	cs_str_t host = cs_str_n (listen, (size_t)(colon - listen));
	if (host.n > 1 && host.p[0] == '[')
		host = cs_str_n (host.p + 1, host.n - 2);
	char *name = cs_str_dup (host);
	if (getaddrinfo (name, colon + 1, &hints, &found))
		found = NULL;
	free (name);
	return found;
}
